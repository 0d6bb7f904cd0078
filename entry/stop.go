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
	// acceptShare is the part of the grace in which new connections are still served: the balancer
	// notices after two missed questions, 2 to 3 s of 6, and goes on sending until then.
	acceptShare = 0.6
	// takeShare is the part in which every request is taken; after it only those whose time ends before the host's.
	admitShare = 0.45
	// endMargin is kept of the grace for the process to end by itself: for its last words, and from exitMargin on for
	// nothing but the end.
	endMargin        = 150 * time.Millisecond
	exitMargin       = 50 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// mostLagShare is the most that the lag may be of the grace. A measurement amid which the process stood still seems to
	// show seconds; taken in full, a host that was told a moment ago would cut all its requests at once.
	maxDelayShare = 0.25
	// acceptTimeout is what taking the last connections has at the least, however late the stop comes to it; the listener
	// waits for 200 ms for those that are under way.
	acceptTimeout = 300 * time.Millisecond
	// withdrawTimeout bounds the write that takes the host's record away, made this long before the end.
	removeTimeout = 400 * time.Millisecond
	// finishTimeout bounds the last word of a keeper, which waits for no call.
	finishTimeout = 50 * time.Millisecond
)

// ErrConnectionsNotAccepted means that connections still waited to be taken when the listener was closed; they are reset.
var ErrConnectionsNotAccepted = errors.New("connections still waited to be taken")

// stop serves what the balancer still sends, lets each connection end with its next answer, and returns
// when none is left or the grace has passed.
func (host *Host) stop(ctx context.Context) {
	begun := host.clock.Now()
	host.stopping.Store(true)
	// The grace counts from the signal, which a busy process notices late by its lag, and one that stood still by up to the
	// time of that. A process that notices its signal late is as late with its own end, so it keeps its lag of the grace.
	fullGrace := host.currentBounds().Grace
	delay := min(host.schedulingDelay.current(), shareOf(fullGrace, maxDelayShare))
	signalled := begun.Add(-delay)
	earliest := min(signalled, host.mesh.EarliestEventTime())
	grace := fullGrace - delay
	events.Log(host.logger, events.EntryStopping, zap.Int("Connections", host.server.Open()), zap.Duration("Grace", grace), zap.Duration("Late", begun.Sub(earliest)))
	host.server.Stop()
	go host.keeper.Resign(ctx)
	go host.signalExit(signalled.Add(grace - exitMargin))
	// One end bounds the whole stop. While each wait had a bound of its own, or none, a host that had run out of
	// descriptors, or was asked to wait by its store, was killed at the end of its grace.
	end := signalled.Add(grace - endMargin)
	draining, cancel := host.contextUntil(ctx, end)
	defer cancel()
	runUntil(draining.Done(), func() { host.drain(draining, earliest, grace, end) })
	events.Log(host.logger, events.EntryStopped, zap.Int("Cut", host.server.Open()), zap.Duration("Took", host.clock.Now().Sub(begun)))
	runUntil(host.mustExit, func() { host.stopGranting(ctx) })
}

// endProcess closes Over at an instant. It outlives the stop, since what follows may hang as well.
func (host *Host) signalExit(instant cherrykeel.Instant) {
	host.waitUntil(context.Background(), instant)
	close(host.mustExit)
}

// MustExit is closed when the process has to end, whatever it still waits for, since its grace is all but over.
func (host *Host) MustExit() <-chan struct{} {
	return host.mustExit
}

// drain returns when no connection is left and the host's record is taken away, or the context has ended. Earliest is when
// the signal may have come at the soonest: the grace counts from then for what is taken, so that nothing is taken that the
// platform might cut by killing the process. What has been taken is served until the end, since the signal may have come
// later than that.
func (host *Host) drain(ctx context.Context, earliest cherrykeel.Instant, grace time.Duration, end cherrykeel.Instant) {
	host.waitUntil(ctx, earliest.Add(shareOf(grace, admitShare)))
	host.relay.SetProcessEnd(earliest.Add(grace - endMargin))
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
	events.Log(host.logger, events.EntryClosed, zap.Duration("After", host.clock.Now().Sub(earliest)), zap.Int("Connections", host.server.Open()), zap.Error(err))
	host.closeConnections(ctx)
	// With no connection left the record is taken away at once.
	cancel()
	<-removed
}

// closeListener returns when the listener is closed: after the connections that are complete were taken, or, if they
// cannot all be until an instant, as when descriptors have run out, then. What has been taken is served to its end.
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

// closeConnections ends each connection as it becomes idle, and returns when none is left or the context has ended.
func (host *Host) closeConnections(ctx context.Context) {
	for host.server.Open() > 0 && ctx.Err() == nil {
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

// contextUntil returns a context that ends at an instant of the host's clock, which goes on while the machine is suspended.
func (host *Host) contextUntil(ctx context.Context, end cherrykeel.Instant) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		host.waitUntil(ctx, end)
		cancel()
	}()
	return ctx, cancel
}

// finishKeeping tells the others that this host grants nothing any more, should it be keeper still: it could
// not resign while the store is away. The word is sent twice, since a datagram may be lost; each host that has
// it passes it on.
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

// withdraw takes this host's record away. The others count hosts to tell whether they are more than half;
// those that have left for good would make that impossible.
func (host *Host) removeRecord(ctx context.Context, end cherrykeel.Instant) {
	ctx, cancel := context.WithTimeout(ctx, min(removeTimeout, end.Sub(host.clock.Now())))
	defer cancel()
	_, err := host.platform.Hosts.Put(ctx, host.self.Name, nil)
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.String("Key", host.self.Name), zap.Error(err))
	}
}
