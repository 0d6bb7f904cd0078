package entry

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/poison"
	"cherrykeel/share"
	"cherrykeel/watch"
)

const (
	// topicDenied names, in messages between hosts, the records of requests that ran when upstreams crashed.
	topicDenied = "denied"
	// deniedPrefix begins the keys of such records in the topic of the hosts, which each host reads at its start
	// anyway: a topic of their own would cost one more call for each host.
	deniedPrefix = "denied/"
	// minStoredCrashes is how many crashes a request's record must have to be written to that topic. Records with one
	// crash are only sent from host to host: each loss of an upstream leaves some dozens of requests with one crash,
	// and next to none with two.
	minStoredCrashes = 2
	// newcomersInterval bounds how often all records are sent because hosts have started: when all start at once, each
	// of them would cause that.
	newcomersInterval = 250 * time.Millisecond
	// denyListTimeout is how long a host that has everything else waits for the topic of the hosts before it is ready.
	denyListTimeout = 2 * time.Second
)

// denialRepeatDelays are the delays after which a record is sent again: a few datagrams in a hundred are lost on bad
// links, and all hosts have to receive the record within a second or two.
var denialRepeatDelays = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond}

// announceDenial sends the record of a request to the other hosts, now and several times later.
func (host *Host) announceDenial(record poison.Record) {
	host.announceDenials(record)
	for _, delay := range denialRepeatDelays {
		time.AfterFunc(delay, func() {
			newest, known := host.denyList.Find(record.Fingerprint)
			if known {
				host.announceDenials(newest)
			}
		})
	}
}

func (host *Host) announceDenials(records ...poison.Record) {
	var encoded []cherrykeel.KeyedRecord
	for _, record := range records {
		value, err := record.Encode()
		if err != nil {
			events.Log(host.logger, events.WriteFailed, zap.Error(err))
			continue
		}
		encoded = append(encoded, cherrykeel.KeyedRecord{Key: deniedPrefix + record.Fingerprint.String(), Value: value})
	}
	host.mesh.Announce(topicDenied, encoded, share.NoPreviousChange)
}

// announceToNewcomers sends all records to the other hosts after some of them have started. Among many hosts only hubs
// do that.
func (host *Host) announceToNewcomers() {
	if host.denyList.IsEmpty() || host.mesh.HubDuration() == 0 {
		return
	}
	host.announceDenials(host.denyList.Records()...)
}

// applyHosts applies an update of the hosts' topic: the records of hosts and of requests to refuse.
func (host *Host) applyHosts(update watch.Update) {
	var peers, denied []cherrykeel.KeyedRecord
	for _, record := range update.Records {
		if strings.HasPrefix(record.Key, deniedPrefix) {
			denied = append(denied, record)
			continue
		}
		peers = append(peers, record)
	}
	update.Records = peers
	host.applyDenials(denied, host.denyList.MergeStored)
	host.peers.Apply(update)
	if update.Snapshot {
		// A host may be ready once it has read the whole list. Until the list is in force, it counts itself as the only
		// host and would use the retry budget of all.
		host.applyPeers()
	}
}

// applyDenials merges the records of requests that other hosts have sent or stored.
func (host *Host) applyDenials(records []cherrykeel.KeyedRecord, merge func(record poison.Record)) {
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		decoded, err := poison.DecodeRecord(strings.TrimPrefix(record.Key, deniedPrefix), record.Value)
		if err != nil {
			events.Log(host.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
			continue
		}
		merge(decoded)
	}
}

// hasDenyList reports whether this host has read which requests crash upstreams. It stops waiting for that after a
// while: one partition of the store may be unavailable while the others are not, and a host that waited for it would
// serve no caller.
func (host *Host) hasDenyList() bool {
	return host.topics.hosts.HasAppliedSnapshot() || host.clock.Now().Sub(host.started) > denyListTimeout
}

// removeExpiredDenials removes records that are too old, on one host from the store too, and updates the metrics.
func (host *Host) removeExpiredDenials(ctx context.Context) {
	host.denyList.UpdateMetrics(host.scope)
	dropped := host.denyList.RemoveExpired()
	if len(dropped) == 0 || host.rank() > 0 {
		return
	}
	for _, fingerprint := range dropped {
		_, err := host.platform.Hosts.Put(ctx, deniedPrefix+fingerprint.String(), nil)
		if err != nil {
			events.Log(host.logger, events.WriteFailed, zap.String("Key", deniedPrefix+fingerprint.String()), zap.Error(err))
		}
	}
}

// writePendingDenials writes records until the context ends, each until the store has accepted it.
func (host *Host) writePendingDenials(ctx context.Context) {
	for ctx.Err() == nil {
		for _, fingerprint := range host.pendingDenials.DequeueAll(ctx) {
			wait := announceInterval
			for ctx.Err() == nil && !host.writeDenial(ctx, fingerprint) {
				sleepContext(ctx, wait)
				wait = min(2*wait, maxAnnounceInterval)
			}
		}
	}
}

// writeDenial writes a request's record and reports whether nothing is left to write.
func (host *Host) writeDenial(ctx context.Context, fingerprint poison.Fingerprint) bool {
	record, known := host.denyList.Find(fingerprint)
	if !known {
		return true
	}
	key := deniedPrefix + fingerprint.String()
	value, err := record.Encode()
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.String("Key", key), zap.Error(err))
		return true
	}
	offset, err := host.platform.Hosts.Put(ctx, key, value)
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.String("Key", key), zap.Error(err))
		return false
	}
	written := []cherrykeel.KeyedRecord{{Key: key, Value: value, Offset: offset}}
	unread := host.topics.hosts.NextOffset() < offset
	host.topics.hosts.ApplyReceived(written)
	if unread {
		// Another host may have written a record of the same request at the same moment.
		host.topics.hosts.TriggerRead()
	}
	host.mesh.Announce(topicHosts, written, share.NoPreviousChange)
	return true
}
