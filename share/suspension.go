package share

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// suspendThreshold is the pause between two checks, which come every busyLoadInterval, after which the process must
	// have been suspended. Datagrams that arrive during a suspension wait in the socket and are read at once
	// afterwards. Dated by when they are read, a second-old report of an old term could let a keeper issue grants beside
	// its successor. So messages that are read within discardAfterResume after a suspension are dropped, and each host's
	// next message is used instead.
	suspendThreshold   = 500 * time.Millisecond
	discardAfterResume = 150 * time.Millisecond
	// minPause is the shortest pause that can be a suspension; on any busy host timers are late by less than that.
	minPause = 2 * busyLoadInterval
)

// canDateReads records that the process runs, and reports whether a message that is read now can be taken to have just
// arrived.
func (mesh *Mesh) canDateReads(now cherrykeel.Instant) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	elapsed := now.Sub(mesh.lastRunAt)
	// Of a longer time, at most one interval counts as time in which the process ran.
	mesh.ranSincePause += min(elapsed, busyLoadInterval)
	if elapsed >= minPause && (mesh.ranSincePause > discardAfterResume || elapsed >= mesh.pauseEnd.Sub(mesh.pauseStart)) {
		// A shorter pause just after a longer one is ignored: events of the longer one may not have been noticed yet.
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

// EarliestEventTime returns the earliest instant at which an event that the process notices now can have happened: now,
// or the start of a pause that has just ended. A signal that is sent during a suspension is noticed only after it.
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
