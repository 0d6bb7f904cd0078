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
	standstill = 500 * time.Millisecond
	undatedFor = 150 * time.Millisecond
	// pauseLeast is the pause after which this process may have stood still; shorter ones its timers have on any busy host.
	pauseLeast = 2 * busyEvery
)

// awake notes that the process runs, and reports whether what is read now can be dated by its reading.
func (mesh *Mesh) awake(now cherrykeel.Instant) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	stood := now.Sub(mesh.awakeAt)
	// The rest of a pause has passed without the process.
	mesh.ran += min(stood, busyEvery)
	if stood >= pauseLeast && (mesh.ran > undatedFor || stood >= mesh.wokeAt.Sub(mesh.pausedAt)) {
		// A shorter pause just after a longer one does not count: what came in that one may not have been noticed yet.
		mesh.pausedAt = mesh.awakeAt
		mesh.wokeAt = now
		mesh.ran = 0
	}
	mesh.awakeAt = now
	if stood > standstill {
		mesh.undatedUntil = now.Add(undatedFor)
		events.Log(mesh.logger, events.Suspended, zap.Duration("For", stood))
	}
	return now >= mesh.undatedUntil
}

// EarliestEventTime returns the earliest instant at which what the process notices now can have come: when it last stood still, if
// it has just gone on. A signal that was sent meanwhile is noticed after it.
func (mesh *Mesh) EarliestEventTime() cherrykeel.Instant {
	now := mesh.clock.Now()
	mesh.awake(now)
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.wokeAt != 0 && mesh.ran <= undatedFor {
		return mesh.pausedAt
	}
	return now
}
