package watch

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/permit"
)

// limitState is what this host knows of an incarnation's rate limit.
type limitState struct {
	statement permit.Statement
	// since is when this host learned that the upstream names limits, without a pause since.
	since cherrykeel.Instant
}

// RecordLimit records what an incarnation of an upstream says of its rate limit in the answer to a request. Like a
// statement that it leaves, it holds whatever the store lists.
func (upstreams *Upstreams) RecordLimit(upstream cherrykeel.Upstream, heard permit.Statement, request string) {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	known, exists := upstreams.entries[upstream.ID]
	if !exists || known.upstream.StartedAt != upstream.StartedAt {
		return
	}
	before := known.limit.statement
	known.limit.statement = permit.Merge(before, heard)
	if before.IsSame(known.limit.statement) {
		return
	}
	if !before.Limited {
		known.limit.since = upstreams.clock.Now()
	}
	upstreams.logLimit(known, before, request)
}

// logLimit logs that an upstream names another limit than before, or none any more.
func (upstreams *Upstreams) logLimit(entry *entry, before permit.Statement, request string) {
	fields := []zap.Field{
		zap.String("Upstream", entry.upstream.ID), zap.String("Service", entry.upstream.Service), zap.Int64("Born", entry.upstream.StartedAt),
		zap.String("Request", request),
	}
	now := entry.limit.statement
	if !now.Limited {
		after := upstreams.clock.Now().Sub(entry.limit.since)
		events.Log(upstreams.logger, events.LimitEnded, append(fields, zap.Float64("Limit", before.PerSecond), zap.Duration("After", after))...)
		return
	}
	previous := -1.0
	if before.Limited {
		previous = before.PerSecond
	}
	events.Log(upstreams.logger, events.LimitNamed, append(fields, zap.Float64("Limit", now.PerSecond), zap.Float64("Before", previous))...)
}
