package caller

import (
	"cherrykeel"
)

// Unanswered is a request that was accepted and whose answer has not been written.
type Unanswered struct {
	// Progress is what the handler has recorded last; its zero value if nothing.
	Progress cherrykeel.RequestProgress
	// Ready is true if the answer is complete. Ahead counts the unanswered requests before it on its connection.
	Ready bool
	Ahead int
}

// RecordProgress implements cherrykeel.ProgressRecorder.
func (answer *answer) RecordProgress(progress cherrykeel.RequestProgress) {
	answer.progress.Store(&progress)
}

// LatestDeadlineAhead implements cherrykeel.ProgressRecorder.
func (answer *answer) LatestDeadlineAhead() cherrykeel.Instant {
	return answer.conn.latestDeadlineBefore(answer)
}

// latestDeadlineBefore returns the latest deadline of the requests before an answer whose own answers are incomplete.
func (conn *conn) latestDeadlineBefore(answer *answer) cherrykeel.Instant {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	latest := cherrykeel.Instant(0)
	for _, earlier := range conn.pending {
		if earlier == answer {
			break
		}
		if !earlier.isReady() {
			latest = max(latest, earlier.currentProgress().Deadline)
		}
	}
	return latest
}

// Unanswered returns the unanswered requests, at most as many as the limit.
func (server *Server) Unanswered(limit int) []Unanswered {
	var unanswered []Unanswered
	for _, conn := range server.openConns() {
		unanswered = append(unanswered, conn.listUnanswered()...)
		if len(unanswered) >= limit {
			return unanswered[:limit]
		}
	}
	return unanswered
}

func (conn *conn) listUnanswered() []Unanswered {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	var unanswered []Unanswered
	for ahead, answer := range conn.pending {
		unanswered = append(unanswered, Unanswered{Progress: answer.currentProgress(), Ready: answer.isReady(), Ahead: ahead})
	}
	return unanswered
}

func (answer *answer) currentProgress() cherrykeel.RequestProgress {
	progress := answer.progress.Load()
	if progress == nil {
		return cherrykeel.RequestProgress{}
	}
	return *progress
}

func (answer *answer) isReady() bool {
	select {
	case <-answer.done:
		return true
	default:
		return false
	}
}

// removePending removes an answer that was written. conn.mutex must be held.
func (conn *conn) removePending(answer *answer) {
	if len(conn.pending) > 0 && conn.pending[0] == answer {
		// The array stays with the connection; an answer that it kept would hold its body while the connection is idle.
		conn.pending[0] = nil
		conn.pending = conn.pending[1:]
	}
}
