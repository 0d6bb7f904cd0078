package entry

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
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

// misdirectedTable names, beside the topics, a table that misdirected requests let this host expect.
const misdirectedTable = "misdirected"

// unknownHost names, beside the topics, the list of hosts with one that reports and is not known.
const unknownHost = "unknown host"

// ownRecord names, beside the topics, the list of hosts up to this host's own record.
const ownRecord = "own record"

// state is what the host tells of itself.
type state struct {
	host *Host
}

// FillReport implements share.State.
func (state *state) FillReport(report *share.Report) {
	host := state.host
	table, _, known := host.spans.Current()
	if known {
		report.Term = table.Term
	}
	report.StoreAvailable = host.storeAvailableFor() > 0
	report.Offsets = host.offsets()
	report.Ages = host.ages()
	report.FinalGrants = host.keeper.FinalGrants()
}

// FillLoad implements share.State.
func (state *state) FillLoad(load *share.Load) bool {
	own := state.host.relay.OwnCounts()
	load.Running = share.ShortenKeys(own.Running)
	load.Waiting = share.ShortenKeys(own.Waiting)
	load.Queued = share.ShortenKeys(own.Queued)
	return own.Busy
}

// offsets tells where the newest changes stand that this host knows.
func (host *Host) offsets() map[string]int64 {
	table, _, _ := host.spans.Current()
	return map[string]int64{
		topicSettings:  max(host.routes.Offset(), host.zones.Offset()),
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
	addAge := func(name string, topic *watch.Follower, bound time.Duration) {
		age, known := topic.Age()
		if known && age < bound {
			ages[name] = age.Round(time.Millisecond)
		}
	}
	addAge(topicSettings, host.topics.operator, bounds.MaxSettingsDelay)
	addAge(topicUpstreams, host.topics.upstreams, bounds.Drain)
	return ages
}

// chainUpstreams notes up to where all changes of upstreams are known. A message names the change before its own:
// whoever lacks that one stays behind, though it has the newer one, until it has read the store.
func (host *Host) recordUpstreamsThrough(announcement share.Announcement) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if announcement.PreviousOffset > max(host.upstreamsThrough, host.topics.upstreams.NextOffset()-1) {
		return
	}
	for _, record := range announcement.Records {
		host.upstreamsThrough = max(host.upstreamsThrough, record.Offset)
	}
}

// readThrough tells up to where this host knows each topic without a gap. Of upstreams, whose heartbeats are not
// told, changes that were told without a gap count too. A host that has just started takes all that it finds for
// changes, and reports an offset up to which the others have known all changes and read no heartbeats: they read
// once. While only the newest change counted they read ten times a second each, until the next change.
func (host *Host) completeOffsets() map[string]int64 {
	host.mutex.Lock()
	through := host.upstreamsThrough
	host.mutex.Unlock()
	return map[string]int64{
		topicSettings:  host.topics.operator.NextOffset() - 1,
		topicUpstreams: max(through, host.topics.upstreams.NextOffset()-1),
		topicHosts:     host.topics.hosts.NextOffset() - 1,
		topicSpans:     host.topics.spans.NextOffset() - 1,
	}
}

// storeWell is how long the store has served this host; 0 while any topic cannot be read.
func (host *Host) storeAvailableFor() time.Duration {
	for _, topic := range []*watch.Follower{host.topics.operator, host.topics.hosts, host.topics.spans} {
		if topic.IsUnavailable() {
			return 0
		}
	}
	return host.topics.upstreams.AvailableFor()
}

// heardPace is how often reports are looked through at the most. Watchers and the keeper get two a second from each
// host, 390 among 195, and changes are read 250 ms after they were first reported at the earliest.
const reportsInterval = 50 * time.Millisecond

// heard reads what other hosts report to be newer than what this one knows, and has not been told in time.
func (host *Host) checkReports() {
	known := host.completeOffsets()
	newest := maps.Clone(known)
	for _, received := range host.mesh.FreshReports() {
		for topic, offset := range received.Report.Offsets {
			newest[topic] = max(newest[topic], offset)
		}
	}
	now := host.clock.Now()
	for topic, offset := range known {
		if host.isReadDue(topic, offset, newest[topic], now) {
			host.triggerRead(topic)
		}
	}
	hosts := known[topicHosts]
	reported := hosts
	if host.mesh.HasUnknownSender() {
		reported++
	}
	if host.isReadDue(unknownHost, hosts, reported, now) {
		host.triggerRead(topicHosts)
	}
}

// misdirected takes it that an upstream did not hold a key that the table gives to it: the next table may be on its
// way to this host, or the grant to the upstream. Only while requests go on being misdirected under the same table
// does the host read it; when each of them made it read, 60 of 91 hosts did so within 0.2 s of a move.
func (host *Host) onMisdirected() {
	version := host.spans.Version()
	if host.isReadDue(misdirectedTable, version, version+1, host.clock.Now()) {
		host.topics.spans.TriggerRead()
	}
}

func (host *Host) isReadDue(topic string, known, reported int64, now cherrykeel.Instant) bool {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	missing, tracked := host.missingChanges[topic]
	if !tracked {
		missing = &missingChange{}
		host.missingChanges[topic] = missing
	}
	return missing.isReadDue(known, reported, now)
}

func (host *Host) triggerRead(topic string) {
	switch topic {
	case topicSettings:
		host.topics.operator.TriggerRead()
	case topicUpstreams:
		host.topics.upstreams.TriggerRead()
	case topicHosts:
		host.topics.hosts.TriggerRead()
	case topicSpans:
		host.topics.spans.TriggerRead()
	}
}

// told takes records that another host has read.
func (host *Host) receive(announcement share.Announcement) {
	switch announcement.Topic {
	case topicSettings:
		host.topics.operator.ApplyReceived(announcement.Records)
	case topicUpstreams:
		host.topics.upstreams.ApplyReceived(announcement.Records)
		host.recordUpstreamsThrough(announcement)
	case topicHosts:
		host.topics.hosts.ApplyReceived(announcement.Records)
	case topicSpans:
		host.receiveSpans(announcement)
	case topicDenied:
		host.applyDenials(announcement.Records, host.denyList.Merge)
	}
}

// toldSpans takes changes of the table, each of which follows the one before. Who has missed one is told of it again
// with the next ones, and reads the table if that does not come soon (heard).
func (host *Host) receiveSpans(announcement share.Announcement) {
	before := announcement.PreviousOffset
	for _, record := range announcement.Records {
		base := before
		before = record.Offset
		if host.spans.Version() >= record.Offset {
			continue
		}
		change, err := spans.Decode(record.Value, record.Offset)
		if err != nil {
			events.Log(host.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
			continue
		}
		if !host.spans.ApplyChange(change, base) {
			continue
		}
		host.topics.spans.ApplyReceived([]cherrykeel.KeyedRecord{{Key: record.Key, Offset: record.Offset}})
	}
}

// tellUpstreams passes on what this host found of upstreams itself, under the same condition as tellOne.
func (host *Host) announceUpstreams(records []cherrykeel.KeyedRecord, before int64) {
	if host.mesh.HubDuration() > 0 {
		host.mesh.Announce(topicUpstreams, records, before)
	}
}

// tellSpans tells the others what a table changed.
func (host *Host) announceSpans(change spans.Table, before int64) {
	value, err := change.Encode()
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.Error(err))
		return
	}
	if change.Keeper != host.self.Name && host.mesh.HubDuration() == 0 {
		return
	}
	records, before := host.recent.add(cherrykeel.KeyedRecord{Key: watch.SpansKey, Value: value, Offset: change.Version}, before)
	host.mesh.Announce(topicSpans, records, before)
}

// tellOne passes a record on. Among many hosts only those do that hear from all: when a message of theirs is
// lost to many, each of those reads for itself and would tell all the others again.
func (host *Host) announcer(topic string) func(record cherrykeel.KeyedRecord) {
	return func(record cherrykeel.KeyedRecord) {
		if host.mesh.HubDuration() == 0 {
			return
		}
		host.mesh.Announce(topic, []cherrykeel.KeyedRecord{record}, share.NoPreviousChange)
	}
}
