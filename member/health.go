package member

import (
	"time"

	"cherrykeel"
)

const (
	// failuresToEject is the number of consecutive failed attempts after which an upstream is ejected, that is, gets no
	// requests for a while.
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
	// warmupTime is how long an upstream that has joined or come back takes to get its full share.
	warmupTime = 10 * time.Second
	// maxDrainingAge is how long an upstream's announcement that it is draining counts.
	maxDrainingAge = 10 * time.Second
	// maxRest is the longest rest that an upstream gets: it can't take back one that it asked for by mistake.
	maxRest = 30 * time.Second
	// shedWeight is the weight of the newest request in the moving average of shed requests.
	shedWeight = 0.1
	// shedMemory is how long refusals count while no request follows: an upstream that refused many may get none that
	// would show that it has room again.
	shedMemory = 10 * time.Second
)

// Health is the state of one upstream as the results of this host's own requests show it.
type Health struct {
	failures     int
	ejections    int
	ejectedUntil cherrykeel.Instant
	probing      bool
	warmSince    cherrykeel.Instant
	drainedAt    cherrykeel.Instant
	draining     bool
	restUntil    cherrykeel.Instant
	// shed is the moving average, as of shedAt, of the share of requests that the upstream refused because it was overloaded.
	shed   float64
	shedAt cherrykeel.Instant
}

// NewHealth returns the health of an upstream that is first seen at now; a warm one needs no warm-up.
func NewHealth(now cherrykeel.Instant, warm bool) *Health {
	health := &Health{warmSince: now}
	if warm {
		health.warmSince = now - cherrykeel.Instant(warmupTime)
	}
	return health
}

// RecordSuccess records an answer.
func (health *Health) RecordSuccess(now cherrykeel.Instant) {
	if health.ejections > 0 && health.probing {
		health.warmSince = now
		health.ejections = 0
	}
	health.failures = 0
	health.probing = false
	health.recordShedShare(0, now)
}

// RecordShed records that the upstream refused a request because it was overloaded. It gets fewer requests from now on,
// whatever load it reports: otherwise an upstream that sheds but reports that it is idle would attract the most
// requests, since refusals leave the fewest in flight.
func (health *Health) RecordShed(now cherrykeel.Instant) {
	health.recordShedShare(1, now)
	health.probing = false
}

// recordShedShare adds a request to the moving average: 1 if it was refused, else 0.
func (health *Health) recordShedShare(share float64, now cherrykeel.Instant) {
	current := health.currentShed(now)
	health.shed = current + shedWeight*(share-current)
	health.shedAt = now
}

// currentShed returns the moving average of shed requests, which falls to 0 during shedMemory.
func (health *Health) currentShed(now cherrykeel.Instant) float64 {
	age := float64(now.Sub(health.shedAt)) / float64(shedMemory)
	return health.shed * max(0, 1-age)
}

// RecordFailure records an attempt without an answer; after several in a row, or a failed probe, the upstream is ejected.
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

// RecordInconclusive records an attempt whose end shows nothing, for instance because its caller has disconnected. The
// next request is the probe then: otherwise an upstream with such a probe would get no more requests while the service
// had other upstreams.
func (health *Health) RecordInconclusive() {
	health.probing = false
}

// RecordDraining records the upstream's announcement that it accepts no new requests.
func (health *Health) RecordDraining(now cherrykeel.Instant) {
	health.draining = true
	health.probing = false
	health.drainedAt = now
}

// RecordRest records that the upstream asked for a time without requests.
func (health *Health) RecordRest(length time.Duration, now cherrykeel.Instant) {
	health.probing = false
	health.restUntil = max(health.restUntil, now.Add(min(length, maxRest)))
}

// RestUntil returns the end of the rest that the upstream asked for last, which may be over.
func (health *Health) RestUntil() cherrykeel.Instant {
	return health.restUntil
}

// IsResting reports whether the upstream gets no requests since it asked for a rest.
func (health *Health) IsResting(now cherrykeel.Instant) bool {
	return now < health.restUntil
}

// IsUsable reports whether a request may be sent to the upstream. When an ejection ends, one request is sent first as a
// probe; a separate probe request would cost several times as much.
func (health *Health) IsUsable(now cherrykeel.Instant) bool {
	if health.IsDraining(now) || health.IsResting(now) {
		return false
	}
	if health.ejections == 0 {
		return true
	}
	return now >= health.ejectedUntil && !health.probing
}

// IsDraining reports whether the upstream has recently announced that it accepts no new requests.
func (health *Health) IsDraining(now cherrykeel.Instant) bool {
	return health.draining && now.Sub(health.drainedAt) < maxDrainingAge
}

// RecordAttempt records that a request is sent to the upstream.
func (health *Health) RecordAttempt() {
	if health.ejections > 0 {
		health.probing = true
	}
}

// IsUnreachable reports whether the upstream has been ejected and has not answered since.
func (health *Health) IsUnreachable() bool {
	return health.ejections > 0
}

// Weight returns the share of its usual load that the upstream should get: from 0, if it has just joined or sheds all
// requests, to 1.
func (health *Health) Weight(now cherrykeel.Instant) float64 {
	warmth := min(1, float64(now.Sub(health.warmSince))/float64(warmupTime))
	return warmth * (1 - health.currentShed(now))
}
