package watch

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// applyEntry applies the record of an upstream and reports whether onChange has to be called.
func (upstreams *Upstreams) applyEntry(record cherrykeel.KeyedRecord) bool {
	old, known := upstreams.entries[record.Key]
	if known && record.Offset <= old.offset {
		return false
	}
	upstream, err := upstreams.decode(record.Key, record.Value)
	if err != nil {
		upstreams.logInvalid(record, err)
		return false
	}
	if upstream.RemainingWarmup > 0 {
		upstream.ColdUntil = upstreams.clock.Now().Add(upstream.RemainingWarmup)
	}
	if upstreams.isUnrouted(upstream) {
		upstreams.holdBack(record, upstream)
		return false
	}
	delete(upstreams.unrouted, record.Key)
	return upstreams.applyUpstream(record, upstream)
}

// applyUpstream applies the decoded record of an upstream, and reports whether onChange has to be called.
func (upstreams *Upstreams) applyUpstream(record cherrykeel.KeyedRecord, upstream cherrykeel.Upstream) bool {
	old, known := upstreams.entries[record.Key]
	if known && (record.Offset <= old.offset || old.isStale(upstream)) {
		return false
	}
	next := &entry{upstream: upstream, offset: record.Offset}
	if known && upstream.StartedAt == old.upstream.StartedAt {
		next.leavingSince, next.limit = old.leavingSince, old.limit
	}
	upstreams.listValid = false
	upstreams.entries[record.Key] = next
	if known && !old.gone && isUnchangedForHosts(old.upstream, upstream) {
		return false
	}
	upstreams.offset = max(upstreams.offset, record.Offset)
	upstreams.unannounced = append(upstreams.unannounced, record)
	events.Log(upstreams.logger, events.UpstreamChanged,
		zap.String("Upstream", upstream.ID), zap.String("Service", upstream.Service), zap.String("Address", upstream.Address),
		zap.Int64("Born", upstream.StartedAt), zap.Bool("Leaving", upstream.Leaving), zap.Duration("Cold", upstream.RemainingWarmup), zap.Int64("Offset", record.Offset))
	return true
}

// isStale reports whether a record with a higher offset says nothing of an upstream that is newer than this entry: it was
// written by an earlier incarnation, whose Leaving does not apply to the present one, or by one that has ended. If the
// entry's incarnation has ended, a record with another address counts: the entry may have been another writer's.
func (entry *entry) isStale(upstream cherrykeel.Upstream) bool {
	if entry.ended {
		return upstream.Address == entry.upstream.Address && upstream.StartedAt <= entry.upstream.StartedAt
	}
	return upstream.StartedAt < entry.upstream.StartedAt
}

// skipCopied reports whether a record of a store that has come back from a copy is left out: if it has no higher offset than
// the known one, that may be newer, and say for instance that the upstream leaves. The upstream's next heartbeat counts.
func (upstreams *Upstreams) skipCopied(record cherrykeel.KeyedRecord) bool {
	old, known := upstreams.entries[record.Key]
	if !known || cherrykeel.OffsetOf(record.Offset) > cherrykeel.OffsetOf(old.offset) {
		return false
	}
	copied, err := upstreams.decode(record.Key, record.Value)
	if err == nil && copied.StartedAt > old.upstream.StartedAt {
		return false
	}
	old.offset = max(old.offset, record.Offset)
	return true
}

// isUnchangedForHosts reports whether an entry changes nothing that has to be announced to the other hosts.
func isUnchangedForHosts(old, next cherrykeel.Upstream) bool {
	cold := next.ColdUntil > old.ColdUntil.Add(coldRestartThreshold)
	return !cold && old.Leaving == next.Leaving && old.Address == next.Address && old.StartedAt == next.StartedAt
}

// logInvalid counts and logs a record that describes no upstream, once for each record. The upstream that is known
// under its key stays: a record of another writer does not show that the upstream has ended.
func (upstreams *Upstreams) logInvalid(record cherrykeel.KeyedRecord, err error) {
	logged, known := upstreams.invalidOffsets[record.Key]
	if known && logged >= record.Offset {
		return
	}
	if len(upstreams.invalidOffsets) >= maxInvalidKeys {
		upstreams.invalidOffsets = map[string]int64{}
	}
	upstreams.invalidOffsets[record.Key] = record.Offset
	upstreams.invalidCount++
	events.Log(upstreams.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
}

// markMissing handles a missing entry. While the store is unavailable, entries of running upstreams expire, so an
// upstream is removed only once the store has been available for long enough.
func (upstreams *Upstreams) markMissing(id string, offset int64) bool {
	old, known := upstreams.entries[id]
	if !known || old.gone || offset > 0 && offset <= old.offset {
		return false
	}
	old.offset = max(old.offset, offset)
	old.missing = true
	return upstreams.removeIfMissing(old)
}

// markUnlisted handles the entries that a snapshot lacks as missing ones.
func (upstreams *Upstreams) markUnlisted(listed map[string]bool) bool {
	changed := false
	for id := range upstreams.entries {
		if !listed[id] {
			changed = upstreams.markMissing(id, 0) || changed
		}
	}
	return changed
}

// removeIfMissing marks an upstream as gone if its entry is missing although it had time to register again.
func (upstreams *Upstreams) removeIfMissing(entry *entry) bool {
	available := upstreams.availableFor()
	if !entry.missing || entry.gone || available < ReregistrationTime {
		return false
	}
	upstreams.markGone(entry, available)
	return true
}
