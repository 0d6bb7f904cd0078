package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/drain"
	"cherrykeel/edge"
	"cherrykeel/events"
	"cherrykeel/intent"
)

const (
	headerTimeout    = 10 * time.Second
	idleTimeout      = 90 * time.Second
	stopPollInterval = 20 * time.Millisecond
	// closeReserve is the part of StopTimeout, half of it at most, that is kept for closing the listener and for answering
	// what has been accepted by then.
	closeReserve = 10 * time.Second
)

// requestGauge is the number of callers' requests in flight.
type requestGauge struct {
	count atomic.Int64
}

func (host *Host) router() cherrykeel.Router {
	return cherrykeel.New(
		cherrykeel.WithClock(host.clock),
		cherrykeel.WithResponder(edge.NewResponder(host.logger)),
		cherrykeel.WithStage(edge.NewIdentify(), edge.PriorityIdentify),
		cherrykeel.WithStage(edge.NewMeter(host.scope, host.clock), edge.PriorityMeter),
		cherrykeel.WithStage(edge.NewMatch(host), edge.PriorityMatch),
		cherrykeel.WithStage(edge.NewStopCheck(host.fleet), edge.PriorityStopCheck),
		cherrykeel.WithStage(edge.NewBody(host.clock), edge.PriorityBody),
		cherrykeel.WithStage(intent.NewStage(host.intentGuard, host.clock), edge.PriorityIdempotency),
		cherrykeel.WithStage(edge.NewForward(host.fleet, host.connPool, host.denyList, host.clock, host.logger), edge.PriorityForward),
	)
}

// countRequests returns a handler that counts the requests in flight of next.
func (host *Host) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		host.requests.count.Add(1)
		defer host.requests.count.Add(-1)
		next.ServeHTTP(writer, request)
	})
}

// serve starts the servers for callers and operators; the channel receives the error of a server that fails.
func (host *Host) serve() chan error {
	errorLog, _ := zap.NewStdLogAt(host.logger, zap.DebugLevel)
	host.callerServer = drain.New(&http.Server{
		Handler:           host.countRequests(host.router()),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    host.config.MaxHeaderBytes,
		ErrorLog:          errorLog,
	}, host.callerListener)
	host.adminServer = drain.New(&http.Server{
		Handler:           host.adminHandler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          errorLog,
	}, host.adminListener)
	failed := make(chan error, 2)
	start := func(server *drain.Server) {
		err := server.Serve()
		if err != nil {
			failed <- err
		}
	}
	go start(host.callerServer)
	go start(host.adminServer)
	return failed
}

// stop shuts down gracefully; it aborts only requests that are still in flight after StopTimeout, and refuses those that
// could be by then. The host first becomes unready, still accepts callers while the load balancer notices that, waits
// until other hosts have taken over its keeper roles, and lets the requests in flight end.
func (host *Host) stop() {
	host.stopping.Store(true)
	host.callerServer.DisableKeepAlives()
	events.Log(host.logger, events.HostStopping)
	host.fleet.BeginStop(host.clock.Now().Add(host.config.StopTimeout.Duration))
	deadline := time.Now().Add(host.config.StopTimeout.Duration)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	host.roster.setLeaving()
	host.announce(ctx)
	host.sendHellos(ctx)
	sleepUntil(ctx, time.Now().Add(host.config.StopDelay.Duration))
	handoverEnd := deadline.Add(-min(closeReserve, host.config.StopTimeout.Duration/2))
	for host.coordinator.holdsAnyRole() && host.hasSuccessor() && time.Now().Before(handoverEnd) {
		sleepUntil(ctx, time.Now().Add(stopPollInterval))
	}
	err := host.callerServer.StopAccepting(ctx)
	events.Log(host.logger, events.HostListenerClosed, zap.Int64("Requests", host.requests.count.Load()), zap.Error(err))
	err = host.callerServer.Finish(ctx)
	if err != nil {
		events.Log(host.logger, events.HostRequestsAborted, zap.Int64("Requests", host.callerServer.Aborted()), zap.Error(err))
	}
}

func sleepUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (host *Host) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = host.adminServer.Stop(ctx)
	host.logUnusedConnections()
	host.peerServer.Close()
	host.peerClient.Close()
	host.workers.StopAndWait()
	events.Log(host.logger, events.HostStopped)
}

// logUnusedConnections logs how many connections were closed that never carried a request.
func (host *Host) logUnusedConnections() {
	callers, operators := host.callerServer.ClosedUnused(), host.adminServer.ClosedUnused()
	if callers+operators > 0 {
		events.Log(host.logger, events.HostConnsUnused, zap.Int64("Callers", callers), zap.Int64("Operators", operators))
	}
}
