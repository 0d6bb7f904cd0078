package watch

import (
	"time"

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

// LimitSource is where a statement on a limit comes from.
type LimitSource struct {
	// Request is the ID of the answered request, if this host received the answer; Host is the host that passed the
	// statement on otherwise.
	Request string
	Host    string
}

// KnownLimit is what is known of the limit of one incarnation.
type KnownLimit struct {
	Upstream  permit.Incarnation
	Statement permit.Statement
	// Since is when this host learned that the upstream names limits.
	Since cherrykeel.Instant
}

// RecordLimit records what an incarnation of an upstream says of its rate limit in an answer, and reports whether that
// changes anything. Like a statement that it leaves, it holds whatever the store lists.
func (upstreams *Upstreams) RecordLimit(upstream permit.Incarnation, heard permit.Statement, source LimitSource) bool {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	known, exists := upstreams.entries[upstream.ID]
	if !exists || known.upstream.StartedAt != upstream.StartedAt {
		return false
	}
	before := known.limit.statement
	known.limit.statement = permit.Merge(before, heard)
	if before.IsSame(known.limit.statement) {
		return false
	}
	if !before.Limited {
		known.limit.since = upstreams.clock.Now()
	}
	upstreams.logLimit(known, before, source)
	return true
}

// Limits returns the limits that upstreams which are not gone name, or have named within a time.
func (upstreams *Upstreams) Limits(within time.Duration) []KnownLimit {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	now := upstreams.clock.Now()
	var limits []KnownLimit
	for _, entry := range upstreams.entries {
		statement := entry.limit.statement
		isRecent := entry.limit.since != 0 && now.Sub(statement.ReceivedAt) < within
		if entry.gone || !statement.Limited && !isRecent {
			continue
		}
		incarnation := permit.Incarnation{ID: entry.upstream.ID, StartedAt: entry.upstream.StartedAt}
		limits = append(limits, KnownLimit{Upstream: incarnation, Statement: statement, Since: entry.limit.since})
	}
	return limits
}

// logLimit logs that an upstream names another limit than before, or none any more.
func (upstreams *Upstreams) logLimit(entry *entry, before permit.Statement, source LimitSource) {
	fields := []zap.Field{
		zap.String("Upstream", entry.upstream.ID), zap.String("Service", entry.upstream.Service), zap.Int64("Born", entry.upstream.StartedAt),
		zap.String("Request", source.Request), zap.String("Host", source.Host),
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
