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
	keptEnds = 2
	// newcomersPace bounds how often hosts that have just started are told: when all start at once, each of them is one.
	newcomersPace = 250 * time.Millisecond
	// deniedPatience is how long a host that knows all else waits for that topic before it is ready.
	deniedPatience = 2 * time.Second
)

// toldAgain is when the others are told once more: datagrams are lost, a few in a hundred on bad links, and all hosts
// have to know within a second or two.
var toldAgain = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond}

// tellDenied tells the other hosts of a request, now and some more times.
func (host *Host) tellDenied(record poison.Record) {
	host.tellRecords(record)
	for _, pause := range toldAgain {
		time.AfterFunc(pause, func() {
			newest, known := host.denied.Find(record.Identity)
			if known {
				host.tellRecords(newest)
			}
		})
	}
}

func (host *Host) tellRecords(records ...poison.Record) {
	var told []cherrykeel.KeyedRecord
	for _, record := range records {
		value, err := record.Encode()
		if err != nil {
			events.Log(host.logger, events.WriteFailed, zap.Error(err))
			continue
		}
		told = append(told, cherrykeel.KeyedRecord{Key: deniedPrefix + record.Identity.String(), Value: value})
	}
	host.mesh.Announce(topicDenied, told, share.NoPreviousChange)
}

// tellNewcomers tells all that is known to hosts that have just started. Among many hosts only those do that hear from
// all.
func (host *Host) tellNewcomers() {
	if host.denied.Empty() || host.mesh.HubDuration() == 0 {
		return
	}
	host.tellRecords(host.denied.Records()...)
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
	host.applyDenied(denied, host.denied.MergeKept)
	host.peers.Apply(update)
	if update.Snapshot {
		// A host is ready once it has read the whole list; until it is in force it would spend the retries of all hosts.
		host.putPeersInForce()
	}
}

// applyDenied takes what other hosts have seen, as they told it or as it is kept in the store.
func (host *Host) applyDenied(records []cherrykeel.KeyedRecord, merge func(record poison.Record)) {
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		told, err := poison.DecodeRecord(strings.TrimPrefix(record.Key, deniedPrefix), record.Value)
		if err != nil {
			events.Log(host.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
			continue
		}
		merge(told)
	}
}

// knowsDenied reports whether this host has read which requests end upstreams. It does not wait for that for ever:
// one partition of the store may be away while the others are not, and nobody would be served.
func (host *Host) knowsDenied() bool {
	return host.topics.hosts.HasAppliedSnapshot() || host.clock.Now().Sub(host.started) > deniedPatience
}

// forgetDenied drops what is too old, at one host from the store too, and shows how much is left.
func (host *Host) forgetDenied(ctx context.Context) {
	host.denied.Count(host.scope)
	dropped := host.denied.Forget()
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
func (host *Host) keepDenied(ctx context.Context) {
	for ctx.Err() == nil {
		for _, identity := range host.kept.Take(ctx) {
			wait := announcePause
			for ctx.Err() == nil && !host.writeDenied(ctx, identity) {
				pause(ctx, wait)
				wait = min(2*wait, longestAnnouncePause)
			}
		}
	}
}

// writeDenied reports whether nothing is left to write of a request.
func (host *Host) writeDenied(ctx context.Context, identity poison.Identity) bool {
	record, known := host.denied.Find(identity)
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
