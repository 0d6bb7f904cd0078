package entry

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/relay"
	"cherrykeel/share"
	"cherrykeel/spans"
	"cherrykeel/watch"
)

// The topics of the store, as hosts name them among each other.
const (
	topicSettings  = "settings"
	topicUpstreams = "upstreams"
	topicHosts     = "hosts"
	topicSpans     = "spans"
)

// state is what the host tells of itself.
type state struct {
	host *Host
}

// Report implements share.State.
func (state *state) Report(report *share.Report) {
	host := state.host
	table, _, known := host.spans.Current()
	if known {
		report.Term = table.Term
	}
	report.StoreWell = host.storeWell() > 0
	report.Offsets = host.offsets()
	report.Ages = host.ages()
	report.Finals = host.keeper.Finals()
}

// Load implements share.State.
func (state *state) Load(load *share.Load) bool {
	own := state.host.relay.Own()
	load.Running = share.Shorten(own.Running)
	load.Waiting = share.Shorten(own.Waiting)
	load.Queued = share.Shorten(own.Queued)
	return own.Busy
}

// offsets tells where the newest changes stand that this host knows.
func (host *Host) offsets() map[string]int64 {
	table, _, _ := host.spans.Current()
	return map[string]int64{
		topicSettings:  host.routes.Offset(),
		topicUpstreams: host.upstreams.Offset(),
		topicHosts:     host.peers.Offset(),
		topicSpans:     table.Version,
	}
}

// ages tells how long ago this host began the last reads that were answered; the others do not need those
// that would be overdue anyway.
func (host *Host) ages() map[string]time.Duration {
	bounds := host.currentBounds()
	ages := map[string]time.Duration{}
	note := func(name string, topic *watch.Follower, bound time.Duration) {
		age, known := topic.Age()
		if known && age < bound {
			ages[name] = age.Round(time.Millisecond)
		}
	}
	note(topicSettings, host.operatorTopic, bounds.InForce)
	note(topicUpstreams, host.upstreamsTopic, bounds.Drain)
	return ages
}

// readThrough tells up to where this host has read without a gap. Of upstreams, whose heartbeats are not
// told, the newest change counts too. A host that has just started takes all that it finds for changes, and
// reports an offset up to which the others have known all changes and read no heartbeats: they read once. While
// only the newest change counted they read ten times a second each, until the next change.
func (host *Host) readThrough() map[string]int64 {
	return map[string]int64{
		topicSettings:  host.operatorTopic.Next() - 1,
		topicUpstreams: max(host.upstreams.Offset(), host.upstreamsTopic.Next()-1),
		topicHosts:     host.hostsTopic.Next() - 1,
		topicSpans:     host.spansTopic.Next() - 1,
	}
}

// storeWell is how long the store has served this host; 0 while any topic cannot be read.
func (host *Host) storeWell() time.Duration {
	for _, topic := range []*watch.Follower{host.operatorTopic, host.hostsTopic, host.spansTopic} {
		if topic.Lost() {
			return 0
		}
	}
	return host.upstreamsTopic.WellFor()
}

// heard reads what other hosts report to be newer than what this one knows.
func (host *Host) heard() {
	own := host.readThrough()
	for _, heard := range host.mesh.Fresh() {
		for topic, offset := range heard.Report.Offsets {
			if offset > own[topic] {
				host.nudge(topic)
			}
		}
	}
}

func (host *Host) nudge(topic string) {
	switch topic {
	case topicSettings:
		host.operatorTopic.Nudge()
	case topicUpstreams:
		host.upstreamsTopic.Nudge()
	case topicHosts:
		host.hostsTopic.Nudge()
	case topicSpans:
		host.spansTopic.Nudge()
	}
}

// told takes records that another host has read.
func (host *Host) told(told share.Told) {
	switch told.Topic {
	case topicSettings:
		host.operatorTopic.Told(told.Records)
	case topicUpstreams:
		missed := host.readThrough()[topicUpstreams] < told.Before
		host.upstreamsTopic.Told(told.Records)
		if missed {
			host.upstreamsTopic.Nudge()
		}
	case topicHosts:
		host.hostsTopic.Told(told.Records)
	case topicSpans:
		host.toldSpans(told)
	}
}

// toldSpans takes a change of the table. Who has missed the change before reads the table.
func (host *Host) toldSpans(told share.Told) {
	for _, record := range told.Records {
		change, err := spans.Decode(record.Value, record.Offset)
		if err != nil {
			events.Log(host.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
			continue
		}
		if !host.spans.Patch(change, told.Before) {
			host.spansTopic.Nudge()
			continue
		}
		host.spansTopic.Told([]cherrykeel.KeyedRecord{{Key: record.Key, Offset: record.Offset}})
	}
}

// tellUpstreams passes on what this host found of upstreams itself, under the same condition as tellOne.
func (host *Host) tellUpstreams(records []cherrykeel.KeyedRecord, before int64) {
	if host.mesh.Watching() > 0 {
		host.mesh.Tell(topicUpstreams, records, before)
	}
}

// tellSpans tells the others what a table changed.
func (host *Host) tellSpans(change spans.Table, before int64) {
	value, err := change.Encode()
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.Error(err))
		return
	}
	if change.Keeper != host.self.Name && host.mesh.Watching() == 0 {
		return
	}
	host.mesh.Tell(topicSpans, []cherrykeel.KeyedRecord{{Key: watch.SpansKey, Value: value, Offset: change.Version}}, before)
}

// tellOne passes a record on. Among many hosts only those do that hear from all: when a message of theirs is
// lost to many, each of those reads for itself and would tell all the others again.
func (host *Host) tellOne(topic string) func(record cherrykeel.KeyedRecord) {
	return func(record cherrykeel.KeyedRecord) {
		if host.mesh.Watching() == 0 {
			return
		}
		host.mesh.Tell(topic, []cherrykeel.KeyedRecord{record}, share.NoChange)
	}
}

// gather takes what the other hosts do.
func (host *Host) gather() {
	sums := host.mesh.Others()
	others := relay.NewOthers()
	for _, upstream := range host.upstreams.Current() {
		short := share.Short(upstream.ID)
		others.Running[upstream.ID] = sums.Running[short]
		others.Waiting[upstream.ID] = sums.Waiting[short]
	}
	for _, service := range host.relay.Services() {
		others.Queued[service] = sums.Queued[share.Short(service)]
	}
	host.relay.SetOthers(others)
}
