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

// Source is where a statement of an upstream comes from.
type Source struct {
	// Request is the ID of the answered request, if this host received the answer; Host is the host that passed the
	// statement on otherwise.
	Request string
	Host    string
}

// Statement is what one incarnation is known to have stated in its answers.
type Statement struct {
	Upstream permit.Incarnation
	// LeavingSince is when a host first received an answer in which it stated that it is leaving, or 0.
	LeavingSince cherrykeel.Instant
	Limit        permit.Statement
	// LimitedSince is when this host learned that it names limits.
	LimitedSince cherrykeel.Instant
}

// RecordLimit records what an incarnation of an upstream says of its rate limit in an answer, and reports whether that
// changes anything. Like a statement that it leaves, it holds whatever the store lists.
func (upstreams *Upstreams) RecordLimit(upstream permit.Incarnation, heard permit.Statement, source Source) bool {
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

// Statements returns what upstreams which are not gone have stated in their answers: a limit, or one that they have named
// within a time, and that they are leaving, if the store does not list them as such.
func (upstreams *Upstreams) Statements(within time.Duration) []Statement {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	now := upstreams.clock.Now()
	var statements []Statement
	for _, entry := range upstreams.entries {
		limit := entry.limit.statement
		isLimited := limit.Limited || entry.limit.since != 0 && now.Sub(limit.ReceivedAt) < within
		isLeaving := entry.leavingSince != 0 && !entry.upstream.Leaving
		if entry.gone || !isLimited && !isLeaving {
			continue
		}
		incarnation := permit.Incarnation{ID: entry.upstream.ID, StartedAt: entry.upstream.StartedAt}
		statements = append(statements, Statement{Upstream: incarnation, LeavingSince: entry.leavingSince, Limit: limit, LimitedSince: entry.limit.since})
	}
	return statements
}

// logLimit logs that an upstream names another limit than before, or none any more.
func (upstreams *Upstreams) logLimit(entry *entry, before permit.Statement, source Source) {
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
