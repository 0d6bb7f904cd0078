package share

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// standstill is the pause after which this process must have been suspended, since it looks each
	// busyEvery. Datagrams that came meanwhile wait in the socket and are read at once when it goes on; dated
	// by their reading, a second-old word of a term would let a keeper grant beside its successor. So what
	// is read within undatedFor after that is dropped, and the next message of each host is waited for.
	suspendThreshold   = 500 * time.Millisecond
	discardAfterResume = 150 * time.Millisecond
	// pauseLeast is the pause after which this process may have stood still; shorter ones its timers have on any busy host.
	minPause = 2 * busyLoadInterval
)

// awake notes that the process runs, and reports whether what is read now can be dated by its reading.
func (mesh *Mesh) canDateReads(now cherrykeel.Instant) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	elapsed := now.Sub(mesh.lastRunAt)
	// The rest of a pause has passed without the process.
	mesh.ranSincePause += min(elapsed, busyLoadInterval)
	if elapsed >= minPause && (mesh.ranSincePause > discardAfterResume || elapsed >= mesh.pauseEnd.Sub(mesh.pauseStart)) {
		// A shorter pause just after a longer one does not count: what came in that one may not have been noticed yet.
		mesh.pauseStart = mesh.lastRunAt
		mesh.pauseEnd = now
		mesh.ranSincePause = 0
	}
	mesh.lastRunAt = now
	if elapsed > suspendThreshold {
		mesh.discardUntil = now.Add(discardAfterResume)
		events.Log(mesh.logger, events.Suspended, zap.Duration("For", elapsed))
	}
	return now >= mesh.discardUntil
}

// EarliestEventTime returns the earliest instant at which what the process notices now can have come: when it last stood still, if
// it has just gone on. A signal that was sent meanwhile is noticed after it.
func (mesh *Mesh) EarliestEventTime() cherrykeel.Instant {
	now := mesh.clock.Now()
	mesh.canDateReads(now)
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.pauseEnd != 0 && mesh.ranSincePause <= discardAfterResume {
		return mesh.pauseStart
	}
	return now
}
