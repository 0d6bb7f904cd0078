package entry

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/permit"
	"cherrykeel/share"
	"cherrykeel/watch"
)

const (
	// topicStatements names, in messages between hosts, what upstreams say of themselves in their answers.
	topicStatements = "statements"
	// endedLimitTime is how long after its end a limit is still repeated to the other hosts.
	endedLimitTime = 5 * time.Second
)

// tellRepeatDelays are the delays after which what an upstream has just stated is sent to its allocator again.
var tellRepeatDelays = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond}

// recordLimit records what an upstream says of its limit in an answer that this host has received, and passes a change
// on.
func (host *Host) recordLimit(upstream permit.Incarnation, heard permit.Statement, source watch.Source) {
	if host.upstreams.RecordLimit(upstream, heard, source) {
		host.rateLimits.changed.trigger()
		host.rateLimits.tellRepeatedly(upstream)
	}
}

// recordLeaving records that an upstream states in an answer that it is leaving, and passes that on.
func (host *Host) recordLeaving(upstream cherrykeel.Upstream, request string) {
	if host.upstreams.RecordLeaving(upstream, request) {
		host.rateLimits.tellRepeatedly(permit.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt})
	}
}

// tellRepeatedly passes on what an upstream has stated, now and some times later, since messages get lost.
func (rateLimits *rateLimits) tellRepeatedly(upstream permit.Incarnation) {
	rateLimits.tell(upstream)
	for _, delay := range tellRepeatDelays {
		time.AfterFunc(delay, func() { rateLimits.tell(upstream) })
	}
}

// tell passes what an upstream has stated to its allocator, or to all hosts if this host is the allocator.
func (rateLimits *rateLimits) tell(upstream permit.Incarnation) {
	host := rateLimits.host
	for _, known := range host.upstreams.Statements(endedLimitTime) {
		if known.Upstream != upstream {
			continue
		}
		allocator := permit.Choose(upstream.ID, rateLimits.allocators())
		switch allocator {
		case "":
		case host.self.Name:
			rateLimits.announce(known)
		default:
			host.mesh.SendAsks(allocator, nil, []share.Statement{newStatement(known, host.clock.Now())})
		}
	}
}

// newStatement returns a statement as it is sent to other hosts now.
func newStatement(known watch.Statement, now cherrykeel.Instant) share.Statement {
	statement := share.Statement{Upstream: known.Upstream, Leaving: known.LeavingSince != 0}
	if statement.Leaving {
		statement.LeavingFor = now.Sub(known.LeavingSince)
	}
	statement.SetLimit(known.Limit, now)
	return statement
}

// announce sends what upstreams have stated to all other hosts.
func (rateLimits *rateLimits) announce(known ...watch.Statement) {
	host := rateLimits.host
	var records []cherrykeel.KeyedRecord
	for _, one := range known {
		value, err := json.Marshal(newStatement(one, host.clock.Now()))
		if err != nil {
			events.Log(host.logger, events.WriteFailed, zap.Error(err))
			continue
		}
		records = append(records, cherrykeel.KeyedRecord{Key: one.Upstream.ID, Value: value})
	}
	host.mesh.Announce(topicStatements, records, share.NoPreviousChange)
}

// repeat sends all other hosts what the upstreams that this host is the allocator of have stated: hosts may have started
// since, and messages get lost.
func (rateLimits *rateLimits) repeat() {
	allocators := rateLimits.allocators()
	var own []watch.Statement
	for _, known := range rateLimits.host.upstreams.Statements(endedLimitTime) {
		if permit.Choose(known.Upstream.ID, allocators) == rateLimits.host.self.Name {
			own = append(own, known)
		}
	}
	if len(own) > 0 {
		rateLimits.announce(own...)
	}
}

// receive applies statements that an allocator has announced.
func (rateLimits *rateLimits) receive(announcement share.Announcement) {
	var statements []share.Statement
	for _, record := range announcement.Records {
		var statement share.Statement
		err := json.Unmarshal(record.Value, &statement)
		if err != nil {
			events.Log(rateLimits.host.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Error(err))
			continue
		}
		statements = append(statements, statement)
	}
	rateLimits.receiveStatements(announcement.Host, statements)
}

// receiveStatements applies what another host knows of upstreams. The allocator passes changes on to all hosts.
func (rateLimits *rateLimits) receiveStatements(from string, statements []share.Statement) {
	host := rateLimits.host
	source := watch.Source{Host: from}
	hasNewLimit := false
	for _, statement := range statements {
		now := host.clock.Now()
		isNewLeaving := statement.Leaving && host.upstreams.RecordLeavingSince(statement.Upstream, now.Add(-statement.LeavingFor), source)
		limit, saysLimit := statement.LimitAt(now)
		isNewLimit := saysLimit && host.upstreams.RecordLimit(statement.Upstream, limit, source)
		hasNewLimit = hasNewLimit || isNewLimit
		isAllocator := permit.Choose(statement.Upstream.ID, rateLimits.allocators()) == host.self.Name
		if isAllocator && (isNewLeaving || isNewLimit) {
			rateLimits.tell(statement.Upstream)
		}
	}
	if hasNewLimit {
		rateLimits.changed.trigger()
	}
}
