package member

import (
	"time"

	"cherrykeel"
)

const (
	// failuresToEject is how many attempts in a row must fail before an upstream is passed over.
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
	// warmupTime is how long an upstream that has joined or come back takes to get its full share.
	warmupTime = 10 * time.Second
	// maxDrainingAge is how long an upstream's own word that it is draining counts.
	maxDrainingAge = 10 * time.Second
	// shedWeight is the weight of the newest request in the share that is shed.
	shedWeight = 0.1
)

// Health is what this host's own requests show of one upstream.
type Health struct {
	failures     int
	ejections    int
	ejectedUntil cherrykeel.Instant
	probing      bool
	warmSince    cherrykeel.Instant
	drainedAt    cherrykeel.Instant
	draining     bool
	// shed is the running share of requests that the upstream refused for want of room.
	shed float64
}

// NewHealth returns the health of an upstream first seen at an instant; one known from the start is warm.
func NewHealth(now cherrykeel.Instant, warm bool) *Health {
	health := &Health{warmSince: now}
	if warm {
		health.warmSince = now - cherrykeel.Instant(warmupTime)
	}
	return health
}

// RecordSuccess takes in an answer.
func (health *Health) RecordSuccess(now cherrykeel.Instant) {
	if health.ejections > 0 && health.probing {
		health.warmSince = now
		health.ejections = 0
	}
	health.failures = 0
	health.probing = false
	health.shed -= shedWeight * health.shed
}

// RecordShed takes in that the upstream refused a request for want of room. Whatever load it
// reports, it gets less from now on: a lying upstream that claims to be idle and sheds would
// otherwise draw the most requests, since refusals leave the fewest in flight.
func (health *Health) RecordShed() {
	health.shed += shedWeight * (1 - health.shed)
	health.probing = false
}

// RecordFailure takes in an attempt that got no answer; it ejects the upstream after several in a row.
func (health *Health) RecordFailure(now cherrykeel.Instant) {
	health.failures++
	if health.failures < failuresToEject && !health.probing {
		return
	}
	pause := firstEjection << min(health.ejections, 10)
	health.ejections++
	health.probing = false
	health.ejectedUntil = now.Add(min(pause, maxEjection))
}

// RecordInconclusive takes in that an attempt ended without showing anything, as when its caller went away. The next request is the probe
// then: without it an upstream whose probe ended so got nothing any more, while the service had others.
func (health *Health) RecordInconclusive() {
	health.probing = false
}

// RecordDraining takes in the upstream's own word that it takes no new work.
func (health *Health) RecordDraining(now cherrykeel.Instant) {
	health.draining = true
	health.probing = false
	health.drainedAt = now
}

// IsUsable reports whether a request may go to the upstream. When an ejection ends, one
// request goes first as a probe: a probe of our own would cost several times as much.
func (health *Health) IsUsable(now cherrykeel.Instant) bool {
	if health.IsDraining(now) {
		return false
	}
	if health.ejections == 0 {
		return true
	}
	return now >= health.ejectedUntil && !health.probing
}

// IsDraining reports whether the upstream has said of late that it takes no new work.
func (health *Health) IsDraining(now cherrykeel.Instant) bool {
	return health.draining && now.Sub(health.drainedAt) < maxDrainingAge
}

// RecordAttempt notes that a request goes to the upstream.
func (health *Health) RecordAttempt() {
	if health.ejections > 0 {
		health.probing = true
	}
}

// IsUnreachable reports whether the upstream has been ejected and has not answered since.
func (health *Health) IsUnreachable() bool {
	return health.ejections > 0
}

// Weight goes from 0, for an upstream that has just come or sheds all, to 1.
func (health *Health) Weight(now cherrykeel.Instant) float64 {
	warmth := min(1, float64(now.Sub(health.warmSince))/float64(warmupTime))
	return warmth * (1 - health.shed)
}
