package entry

import (
	"encoding/json"
	"sort"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/permit"
	"cherrykeel/share"
	"cherrykeel/watch"
)

const (
	// topicLimits names, in messages between hosts, what upstreams say of their rate limits.
	topicLimits = "limits"
	// endedLimitTime is how long after its end a limit is still repeated to the other hosts.
	endedLimitTime = 5 * time.Second
	// usageInterval is how often an allocator logs what it has handed out, and maxLoggedParts bounds the hosts in a line.
	usageInterval  = 5 * time.Second
	maxLoggedParts = 16
)

// limitRepeatDelays are the delays after which a change of a limit is sent to its allocator again.
var limitRepeatDelays = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond}

// recordLimit records what an upstream says of its limit in an answer that this host has received, and passes a change
// on.
func (host *Host) recordLimit(upstream permit.Incarnation, heard permit.Statement, source watch.LimitSource) {
	if !host.upstreams.RecordLimit(upstream, heard, source) {
		return
	}
	host.rateLimits.changed.trigger()
	host.rateLimits.tell(upstream)
	for _, delay := range limitRepeatDelays {
		time.AfterFunc(delay, func() { host.rateLimits.tell(upstream) })
	}
}

// tell passes what is known of a limit to its allocator, or to all hosts if this host is the allocator.
func (rateLimits *rateLimits) tell(upstream permit.Incarnation) {
	host := rateLimits.host
	for _, known := range host.upstreams.Limits(endedLimitTime) {
		if known.Upstream != upstream {
			continue
		}
		allocator := permit.Choose(upstream.ID, rateLimits.allocators())
		switch allocator {
		case "":
		case host.self.Name:
			rateLimits.announce(known)
		default:
			host.mesh.SendAsks(allocator, nil, []share.LimitStatement{share.NewLimitStatement(upstream, known.Statement, host.clock.Now())})
		}
	}
}

// announce sends limits to all other hosts.
func (rateLimits *rateLimits) announce(known ...watch.KnownLimit) {
	host := rateLimits.host
	var records []cherrykeel.KeyedRecord
	for _, one := range known {
		value, err := json.Marshal(share.NewLimitStatement(one.Upstream, one.Statement, host.clock.Now()))
		if err != nil {
			events.Log(host.logger, events.WriteFailed, zap.Error(err))
			continue
		}
		records = append(records, cherrykeel.KeyedRecord{Key: one.Upstream.ID, Value: value})
	}
	host.mesh.Announce(topicLimits, records, share.NoPreviousChange)
}

// repeat sends all other hosts the limits that this host is the allocator of: hosts may have started since, and messages
// get lost.
func (rateLimits *rateLimits) repeat() {
	allocators := rateLimits.allocators()
	var own []watch.KnownLimit
	for _, known := range rateLimits.host.upstreams.Limits(endedLimitTime) {
		if permit.Choose(known.Upstream.ID, allocators) == rateLimits.host.self.Name {
			own = append(own, known)
		}
	}
	if len(own) > 0 {
		rateLimits.announce(own...)
	}
}

// receive applies limits that an allocator has announced.
func (rateLimits *rateLimits) receive(announcement share.Announcement) {
	var statements []share.LimitStatement
	for _, record := range announcement.Records {
		var statement share.LimitStatement
		err := json.Unmarshal(record.Value, &statement)
		if err != nil {
			events.Log(rateLimits.host.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Error(err))
			continue
		}
		statements = append(statements, statement)
	}
	rateLimits.receiveStatements(announcement.Host, statements)
}

// receiveStatements applies what another host knows of limits. The allocator passes changes on to all hosts.
func (rateLimits *rateLimits) receiveStatements(from string, statements []share.LimitStatement) {
	host := rateLimits.host
	changed := false
	for _, statement := range statements {
		if !host.upstreams.RecordLimit(statement.Upstream, statement.At(host.clock.Now()), watch.LimitSource{Host: from}) {
			continue
		}
		changed = true
		if permit.Choose(statement.Upstream.ID, rateLimits.allocators()) == host.self.Name {
			rateLimits.tell(statement.Upstream)
		}
	}
	if changed {
		rateLimits.changed.trigger()
	}
}

// logUsage logs now and then what this host has handed out as an allocator.
func (rateLimits *rateLimits) logUsage() {
	host := rateLimits.host
	now := host.clock.Now()
	rateLimits.mutex.Lock()
	if now.Sub(rateLimits.loggedAt) < usageInterval {
		rateLimits.mutex.Unlock()
		return
	}
	rateLimits.loggedAt = now
	usages := rateLimits.allocator.TakeUsage()
	rateLimits.mutex.Unlock()
	byUpstream := rateLimits.byUpstream()
	for _, usage := range usages {
		given, parts := largestParts(usage.Given)
		events.Log(host.logger, events.PermitsGiven,
			zap.String("Upstream", usage.Upstream.ID), zap.Float64("Limit", byUpstream[usage.Upstream].Statement.PerSecond), zap.Float64("Share", host.mesh.PermitShare()),
			zap.Int("Given", given), zap.Int("Declined", usage.Declined), zap.Int("Hosts", len(usage.Given)), zap.Any("Parts", parts))
	}
}

// largestParts returns the sum of permits by host, and the hosts with most.
func largestParts(given map[string]int) (int, map[string]int) {
	var names []string
	total := 0
	for name, count := range given {
		names = append(names, name)
		total += count
	}
	sort.Slice(names, func(i, j int) bool { return given[names[i]] > given[names[j]] })
	parts := map[string]int{}
	for _, name := range names[:min(len(names), maxLoggedParts)] {
		parts[name] = given[name]
	}
	return total, parts
}

// updateLimitGauges shows how many upstreams name a limit, and each limit; a limit that has ended is shown as -1.
func (host *Host) updateLimitGauges() {
	named := map[string]float64{}
	for incarnation, known := range host.rateLimits.byUpstream() {
		named[incarnation.ID] = known.Statement.PerSecond
	}
	host.scope.Gauge("limited_upstreams").Update(float64(len(named)))
	for id, limit := range named {
		host.rateLimits.shownLimits[id] = true
		host.scope.Tagged(map[string]string{"upstream": id}).Gauge("upstream_limit").Update(limit)
	}
	for id := range host.rateLimits.shownLimits {
		if _, isNamed := named[id]; !isNamed {
			delete(host.rateLimits.shownLimits, id)
			host.scope.Tagged(map[string]string{"upstream": id}).Gauge("upstream_limit").Update(-1)
		}
	}
}
