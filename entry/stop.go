package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// acceptShare is the share of the grace in which new connections are still accepted: the load balancer notices the
	// stop after two failed health checks, 2 to 3 s of 6, and sends connections until then.
	acceptShare = 0.6
	// endMargin is the last part of the grace, which is reserved for the process to end by itself: for its last
	// messages, and within exitMargin of the end only for the exit.
	endMargin  = 150 * time.Millisecond
	exitMargin = 50 * time.Millisecond
	// stopPollInterval is how often a stopping host checks its clock and its connections.
	stopPollInterval = 50 * time.Millisecond
	// maxDelayShare is the largest scheduling delay that counts, as a share of the grace. A measurement during which
	// the process was suspended seems to show seconds; if it counted in full, a host that has just received its signal
	// would cut all its requests at once.
	maxDelayShare = 0.25
	// acceptTimeout is the least time for accepting the last connections, however late in the stop that begins; the
	// listener waits 200 ms for connections that are being set up.
	acceptTimeout = 300 * time.Millisecond
	// removeTimeout bounds the write that removes the host's record; the write begins this long before the end, or
	// earlier.
	removeTimeout = 400 * time.Millisecond
	// finishTimeout bounds a keeper's last report, which waits for no call.
	finishTimeout = 50 * time.Millisecond
)

// ErrConnectionsNotAccepted means that connections were still waiting to be accepted when the listener was closed; they
// are reset.
var ErrConnectionsNotAccepted = errors.New("connections were still waiting to be accepted")

// stop serves what the load balancer still sends, closes each connection after its next answer, and returns when none
// is left or the grace has passed.
func (host *Host) stop(ctx context.Context) {
	begun := host.clock.Now()
	host.stopping.Store(true)
	host.tunnels.Stop()
	host.mesh.ReportNow()
	// The grace counts from the signal. A busy process notices the signal late by its scheduling delay, a suspended one
	// by up to the time of its suspension. A process that notices its signal late also exits late, so the delay is
	// taken off the grace.
	fullGrace := host.currentBounds().Grace
	delay := min(host.schedulingDelay.current(), shareOf(fullGrace, maxDelayShare))
	signalled := begun.Add(-delay)
	earliest := min(signalled, host.mesh.EarliestEventTime())
	grace := fullGrace - delay
	events.Log(host.logger, events.EntryStopping, zap.Int("Connections", host.server.OpenConns()), zap.Duration("Grace", grace), zap.Duration("Late", begun.Sub(earliest)))
	// No request is taken that may outlast the host, from the beginning of the stop on. While a share of the grace
	// admitted everything, what came late in it and had a long time was cut.
	host.relay.SetProcessEnd(earliest.Add(grace - endMargin))
	host.server.DisableKeepAlives()
	go host.keeper.Resign(ctx)
	go host.signalExit(signalled.Add(grace - exitMargin))
	// One end bounds the whole stop. When each wait had a bound of its own, or none, a host that had run out of
	// descriptors, or that waited for its store, was killed at the end of its grace.
	end := signalled.Add(grace - endMargin)
	draining, cancel := host.contextUntil(ctx, end)
	defer cancel()
	runUntil(draining.Done(), func() { host.drain(draining, earliest, grace, end) })
	host.awaitTunnels(draining.Done())
	events.Log(host.logger, events.EntryStopped, zap.Int("Cut", host.server.OpenConns()), zap.Duration("Took", host.clock.Now().Sub(begun)))
	runUntil(host.mustExit, func() { host.stopGranting(ctx) })
	runUntil(host.mustExit, func() { host.logCut(signalled) })
}

// signalExit closes mustExit at an instant. It outlives the stop, since what follows may hang as well.
func (host *Host) signalExit(instant cherrykeel.Instant) {
	host.waitUntil(context.Background(), instant)
	close(host.mustExit)
}

// MustExit returns a channel that is closed when the process must exit, whatever it still waits for, since its grace is
// almost over.
func (host *Host) MustExit() <-chan struct{} {
	return host.mustExit
}

// drain returns when no connection is left and the host's record is removed, or when the context has ended. Earliest is
// the earliest time at which the signal can have been sent: for new connections, as for requests that are not sent yet,
// the grace counts from then, so that the platform cannot cut any of them by killing the process. What an upstream has
// is served until the end, since the signal may have been sent later than that.
func (host *Host) drain(ctx context.Context, earliest cherrykeel.Instant, grace time.Duration, end cherrykeel.Instant) {
	host.waitUntil(ctx, earliest.Add(shareOf(grace, acceptShare)))
	serving, cancel := host.contextUntil(ctx, end.Add(-removeTimeout))
	defer cancel()
	removed := make(chan struct{})
	go func() {
		defer close(removed)
		<-serving.Done()
		host.removeRecord(ctx, end)
	}()
	err := host.closeListener(ctx, max(end.Add(-removeTimeout), host.clock.Now().Add(acceptTimeout)))
	events.Log(host.logger, events.EntryListenerClosed, zap.Duration("After", host.clock.Now().Sub(earliest)), zap.Int("Connections", host.server.OpenConns()), zap.Error(err))
	host.closeConnections(ctx)
	// With no connection left the record is removed at once.
	cancel()
	<-removed
}

// closeListener returns when the listener is closed: after all complete connections have been accepted or, if that
// takes too long, as when descriptors have run out, at the given instant. Accepted connections are served to their end.
func (host *Host) closeListener(ctx context.Context, end cherrykeel.Instant) error {
	ctx, cancel := host.contextUntil(ctx, end)
	defer cancel()
	err := host.listener.Stop()
	select {
	case <-host.acceptEnded:
		return err
	case <-ctx.Done():
		_ = host.listener.Close()
		return errors.WithStack(ErrConnectionsNotAccepted)
	}
}

// closeConnections closes each connection as it becomes idle, and returns when none is left or the context has ended.
func (host *Host) closeConnections(ctx context.Context) {
	for host.server.OpenConns() > 0 && ctx.Err() == nil {
		host.server.CloseIdle()
		sleepContext(ctx, stopPollInterval)
	}
}

// runUntil runs a step, and returns when it is done or the channel is closed, whatever the step waits for.
func runUntil(end <-chan struct{}, step func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		step()
	}()
	select {
	case <-done:
	case <-end:
	}
}

// contextUntil returns a context that ends at an instant of the host's clock, which goes on while the machine is
// suspended.
func (host *Host) contextUntil(ctx context.Context, end cherrykeel.Instant) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		host.waitUntil(ctx, end)
		cancel()
	}()
	return ctx, cancel
}

// stopGranting reports to the others that this host grants nothing any more, in case it is still the keeper: it cannot
// resign while the store is unavailable. The report is sent twice, since a datagram may be lost; each host that
// receives it passes it on.
func (host *Host) stopGranting(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	host.keeper.StopGranting(ctx)
	if ctx.Err() != nil {
		return
	}
	host.mesh.ReportStopped()
	host.mesh.ReportStopped()
}

// waitUntil returns at an instant of the host's clock, or when the context has ended.
func (host *Host) waitUntil(ctx context.Context, instant cherrykeel.Instant) {
	for ctx.Err() == nil {
		left := instant.Sub(host.clock.Now())
		if left <= 0 {
			return
		}
		sleepContext(ctx, min(left, stopPollInterval))
	}
}

// removeRecord removes this host's record. The other hosts see from the records whether they are more than half of all
// hosts; records of hosts that have left for good would make that impossible.
func (host *Host) removeRecord(ctx context.Context, end cherrykeel.Instant) {
	ctx, cancel := context.WithTimeout(ctx, min(removeTimeout, end.Sub(host.clock.Now())))
	defer cancel()
	_, err := host.platform.Hosts.Put(ctx, host.self.Name, nil)
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.String("Key", host.self.Name), zap.Error(err))
	}
}
