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

// The topics of the store, as named in messages between hosts.
const (
	topicSettings  = "settings"
	topicUpstreams = "upstreams"
	topicHosts     = "hosts"
	topicSpans     = share.TopicSpans
)

// misdirectedTable is the key in Host.missingChanges for a newer table that misdirected requests suggest.
const misdirectedTable = "misdirected"

// unknownHost is the key in Host.missingChanges for a list of hosts that includes the unknown sender of a report.
const unknownHost = "unknown host"

// ownRecord is the key in Host.missingChanges for the list of hosts up to this host's own record.
const ownRecord = "own record"

// state provides what a host reports about itself.
type state struct {
	host *Host
}

// FillReport implements share.StateSource.
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
	report.KnowsPermits = true
	host.fillReach(report)
}

// FillLoad implements share.StateSource.
func (state *state) FillLoad(load *share.Load) bool {
	own := state.host.relay.OwnCounts()
	load.Running = share.ShortenKeys(own.Running)
	load.Waiting = share.ShortenKeys(own.Waiting)
	load.Queued = share.ShortenKeys(own.Queued)
	return own.Busy
}

// offsets returns the offsets of the newest changes that this host has.
func (host *Host) offsets() map[string]int64 {
	table, _, _ := host.spans.Current()
	return map[string]int64{
		topicSettings:  max(host.routes.Offset(), host.zones.Offset()),
		topicUpstreams: host.upstreams.Offset(),
		topicHosts:     host.peers.Offset(),
		topicSpans:     table.Version,
	}
}

// ages returns how long ago this host began its last successful reads. Those older than a topic's bound are left out,
// since they would be overdue anyway.
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

// recordUpstreamsThrough records up to which offset all changes of upstreams are known. An announcement has the offset
// of the change before its own: a host that lacks that one counts as lacking a change, even with the newer one, until
// it has read the store.
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

// completeOffsets returns up to which offset this host has each topic without a gap. For upstreams, whose heartbeats
// are not announced, changes that were announced without a gap count too. A host that has just started treats
// everything that it finds as changes, and reports an offset up to which the others have all changes but no heartbeats:
// they read once. When only the newest change counted, they read ten times a second each, until the next change.
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

// storeAvailableFor returns how long the store has been available to this host; 0 while any topic cannot be read.
func (host *Host) storeAvailableFor() time.Duration {
	for _, topic := range []*watch.Follower{host.topics.operator, host.topics.hosts, host.topics.spans} {
		if topic.IsUnavailable() {
			return 0
		}
	}
	return host.topics.upstreams.AvailableFor()
}

// reportsInterval bounds how often reports are checked. Hubs and the keeper receive two a second from each host, 390
// with 195 hosts, and a change is read at the earliest 250 ms after it was first reported.
const reportsInterval = 50 * time.Millisecond

// checkReports triggers reads of the topics for which other hosts report newer changes whose announcements have not
// arrived in time.
func (host *Host) checkReports() {
	host.updateStatuses()
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

// onMisdirected handles the refusal of a request by an upstream that did not hold a key although the table assigns it
// the key: the next table may be on its way to this host, or the grant to the upstream. The host reads the table only
// if requests go on being misdirected under the same one; when each of them triggered a read, 60 of 91 hosts read
// within 0.2 s of a transfer.
func (host *Host) onMisdirected() {
	version := host.spans.Version()
	if host.isReadDue(misdirectedTable, version, version+1, host.clock.Now()) {
		host.topics.spans.TriggerRead()
	}
}

// isReadDue reports whether the host should read the store for a topic, or for one of the keys beside the topics.
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

// receive applies records that another host has announced.
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
	case topicStatements:
		host.rateLimits.receive(announcement)
	case topicDenied:
		host.applyDenials(announcement.Records, host.denyList.Merge)
	}
}

// receiveSpans applies changes of the table, each of which is based on the one before. A host that misses one receives
// it again with the next announcements, and reads the table if that takes too long (checkReports).
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

// announceUpstreams announces changes of upstreams that this host has found itself, under the same condition as
// announcer.
func (host *Host) announceUpstreams(records []cherrykeel.KeyedRecord, before int64) {
	if host.mesh.HubDuration() > 0 {
		host.mesh.Announce(topicUpstreams, records, before)
	}
}

// announceSpans announces the changes of a table.
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

// announcer returns a function that announces a record of the topic. Among many hosts only hubs do: when an
// announcement of theirs fails to reach many hosts, each of those reads for itself and would announce the change to all
// others again.
func (host *Host) announcer(topic string) func(record cherrykeel.KeyedRecord) {
	return func(record cherrykeel.KeyedRecord) {
		if host.mesh.HubDuration() == 0 {
			return
		}
		host.mesh.Announce(topic, []cherrykeel.KeyedRecord{record}, share.NoPreviousChange)
	}
}
