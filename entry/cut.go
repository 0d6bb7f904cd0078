package entry

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// maxLoggedCuts bounds the lines on cut requests: a process that is about to exit has little time to write them.
const maxLoggedCuts = 32

// logCut logs the requests that the host leaves unanswered. The stop is counted from the signal.
func (host *Host) logCut(signalled cherrykeel.Instant) {
	now := host.clock.Now()
	for _, request := range host.server.Unanswered(maxLoggedCuts) {
		progress := request.Progress
		events.Log(host.logger, events.RequestCut,
			zap.String("Request", progress.ID), zap.String("Route", progress.Route), zap.String("Upstream", progress.Upstream),
			zap.Duration("After", progress.Arrived.Sub(signalled)), zap.Duration("Left", progress.Deadline.Sub(now)),
			zap.Bool("Ready", request.Ready), zap.Int("Ahead", request.Ahead))
	}
}
