package entry

import (
	"time"

	"cherrykeel"
	"cherrykeel/relay"
	"cherrykeel/share"
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

// readThrough tells up to where this host has read without a gap. Upstreams' heartbeats are not told, so
// there the newest change counts, and each message names the change before.
func (host *Host) readThrough() map[string]int64 {
	return map[string]int64{
		topicSettings:  host.operatorTopic.Next() - 1,
		topicUpstreams: host.upstreams.Offset(),
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

// heard takes in what other hosts report.
func (host *Host) heard() {
	host.gather()
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
		missed := host.upstreams.Offset() < told.Before
		host.upstreamsTopic.Told(told.Records)
		if missed {
			host.upstreamsTopic.Nudge()
		}
	case topicHosts:
		host.hostsTopic.Told(told.Records)
	case topicSpans:
		host.spansTopic.Told(told.Records)
	}
}

func (host *Host) tellOne(topic string) func(record cherrykeel.KeyedRecord) {
	return func(record cherrykeel.KeyedRecord) {
		host.mesh.Tell(topic, []cherrykeel.KeyedRecord{record}, share.NoChange)
	}
}

// gather sums up what the other hosts tell.
func (host *Host) gather() {
	sums := share.Load{Running: map[string]int{}, Waiting: map[string]int{}, Queued: map[string]int{}}
	for _, heard := range host.mesh.Fresh() {
		add(sums.Running, heard.Load.Running)
		add(sums.Waiting, heard.Load.Waiting)
		add(sums.Queued, heard.Load.Queued)
	}
	others := relay.Others{Running: map[string]int{}, Waiting: map[string]int{}, Queued: map[string]int{}}
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

func add(sums, counts map[string]int) {
	for name, count := range counts {
		sums[name] += count
	}
}
