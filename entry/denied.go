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
	// topicDenied names, among the hosts, what they tell each other of requests that stand at upstreams' ends.
	topicDenied = "denied"
	// deniedPrefix begins the keys of such requests in the topic of the hosts, which each host reads at its start
	// anyway: a topic of their own would cost one call more for each host there is.
	deniedPrefix = "denied/"
	// keptEnds is how many ends a request stands at when it is written there. One end is told from host to host alone:
	// each loss of an upstream leaves some dozens of requests that stand at one, and next to none at two.
	minStoredCrashes = 2
	// newcomersPace bounds how often hosts that have just started are told: when all start at once, each of them is one.
	newcomersInterval = 250 * time.Millisecond
	// deniedPatience is how long a host that knows all else waits for that topic before it is ready.
	denyListTimeout = 2 * time.Second
)

// toldAgain is when the others are told once more: datagrams are lost, a few in a hundred on bad links, and all hosts
// have to know within a second or two.
var denialRepeatDelays = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond}

// tellDenied tells the other hosts of a request, now and some more times.
func (host *Host) announceDenial(record poison.Record) {
	host.announceDenials(record)
	for _, delay := range denialRepeatDelays {
		time.AfterFunc(delay, func() {
			newest, known := host.denyList.Find(record.Identity)
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
		encoded = append(encoded, cherrykeel.KeyedRecord{Key: deniedPrefix + record.Identity.String(), Value: value})
	}
	host.mesh.Announce(topicDenied, encoded, share.NoPreviousChange)
}

// tellNewcomers tells all that is known to hosts that have just started. Among many hosts only those do that hear from
// all.
func (host *Host) announceToNewcomers() {
	if host.denyList.Empty() || host.mesh.HubDuration() == 0 {
		return
	}
	host.announceDenials(host.denyList.Records()...)
}

// applyHosts takes what the topic of the hosts brought: the hosts themselves, and the requests to refuse.
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
	host.applyDenials(denied, host.denyList.MergeKept)
	host.peers.Apply(update)
	if update.Snapshot {
		// A host is ready once it has read the whole list; until it is in force it would spend the retries of all hosts.
		host.applyPeers()
	}
}

// applyDenied takes what other hosts have seen, as they told it or as it is kept in the store.
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

// knowsDenied reports whether this host has read which requests end upstreams. It does not wait for that for ever:
// one partition of the store may be away while the others are not, and nobody would be served.
func (host *Host) hasDenyList() bool {
	return host.topics.hosts.HasAppliedSnapshot() || host.clock.Now().Sub(host.started) > denyListTimeout
}

// forgetDenied drops what is too old, at one host from the store too, and shows how much is left.
func (host *Host) removeExpiredDenials(ctx context.Context) {
	host.denyList.Count(host.scope)
	dropped := host.denyList.Forget()
	if len(dropped) == 0 || host.rank() > 0 {
		return
	}
	for _, identity := range dropped {
		_, err := host.platform.Hosts.Put(ctx, deniedPrefix+identity.String(), nil)
		if err != nil {
			events.Log(host.logger, events.WriteFailed, zap.String("Key", deniedPrefix+identity.String()), zap.Error(err))
		}
	}
}

// keepDenied writes records until the context ends, each until the store has taken it.
func (host *Host) writePendingDenials(ctx context.Context) {
	for ctx.Err() == nil {
		for _, identity := range host.pendingDenials.Take(ctx) {
			wait := announceInterval
			for ctx.Err() == nil && !host.writeDenial(ctx, identity) {
				sleepContext(ctx, wait)
				wait = min(2*wait, maxAnnounceInterval)
			}
		}
	}
}

// writeDenied reports whether nothing is left to write of a request.
func (host *Host) writeDenial(ctx context.Context, identity poison.Identity) bool {
	record, known := host.denyList.Find(identity)
	if !known {
		return true
	}
	key := deniedPrefix + identity.String()
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
		// Another host may have written of the same request at the same moment.
		host.topics.hosts.TriggerRead()
	}
	host.mesh.Announce(topicHosts, written, share.NoPreviousChange)
	return true
}
