package watch

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// put takes a record; latest says that it was found among the newest records of all keys.
func (upstreams *Upstreams) applyEntry(record cherrykeel.KeyedRecord, fromSnapshot bool) bool {
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
	firstOffset := record.Offset
	if known {
		switch {
		case upstream.StartedAt < old.upstream.StartedAt:
			// A late word of an earlier life; what it says of leaving is not said of this one.
			return false
		case upstream.StartedAt == old.upstream.StartedAt && old.ended:
			return false
		case upstream.StartedAt == old.upstream.StartedAt:
			firstOffset, fromSnapshot = old.firstOffset, old.fromSnapshot
		}
	}
	upstreams.listValid = false
	upstreams.entries[record.Key] = &entry{upstream: upstream, offset: record.Offset, firstOffset: firstOffset, fromSnapshot: fromSnapshot}
	if known && !old.gone && isUnchangedForHosts(old.upstream, upstream) {
		return false
	}
	upstreams.offset = max(upstreams.offset, record.Offset)
	upstreams.unannounced = append(upstreams.unannounced, record)
	events.Log(upstreams.logger, events.UpstreamSeen,
		zap.String("Upstream", upstream.ID), zap.String("Service", upstream.Service), zap.String("Address", upstream.Address),
		zap.Int64("Born", upstream.StartedAt), zap.Bool("Leaving", upstream.Leaving), zap.Duration("Cold", upstream.RemainingWarmup), zap.Int64("Offset", record.Offset))
	return true
}

// sameToHosts reports whether an entry says nothing new that the other hosts have to know.
func isUnchangedForHosts(old, next cherrykeel.Upstream) bool {
	cold := next.ColdUntil > old.ColdUntil.Add(coldRestartThreshold)
	return !cold && old.Leaving == next.Leaving && old.Address == next.Address && old.StartedAt == next.StartedAt
}

// noteInvalid logs an entry that names no upstream, once for each record. What is known of its key stays: another
// writer's word says nothing of an upstream that lives.
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

// drop handles an entry that is missing: while the store is in trouble, entries lapse of upstreams that live.
func (upstreams *Upstreams) markMissing(id string, offset int64) bool {
	old, known := upstreams.entries[id]
	if !known || old.gone || offset > 0 && offset <= old.offset {
		return false
	}
	old.offset = max(old.offset, offset)
	old.missing = true
	return upstreams.removeIfMissing(old)
}

func (upstreams *Upstreams) markUnlisted(listed map[string]bool) bool {
	changed := false
	for id := range upstreams.entries {
		if !listed[id] {
			changed = upstreams.markMissing(id, 0) || changed
		}
	}
	return changed
}

func (upstreams *Upstreams) removeIfMissing(entry *entry) bool {
	available := upstreams.availableFor()
	if !entry.missing || entry.gone || available < reregistrationTime {
		return false
	}
	upstreams.markGone(entry, available)
	return true
}
