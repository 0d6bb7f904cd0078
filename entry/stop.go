package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// acceptShare is the part of the grace in which new connections are still served: the balancer
	// notices after two missed questions, 2 to 3 s of 6, and goes on sending until then.
	acceptShare = 0.6
	// takeShare is the part in which every request is taken; after it only those whose time ends before the host's.
	takeShare = 0.45
	// endMargin is kept of the grace for the process to end by itself.
	endMargin = 150 * time.Millisecond
	stopPace  = 50 * time.Millisecond
	// withdrawTimeout bounds the write that takes the host's record away, made this long before the end.
	withdrawTimeout = 400 * time.Millisecond
	// finishTimeout bounds the last word of a keeper, which waits for no call.
	finishTimeout = 50 * time.Millisecond
)

// stop serves what the balancer still sends, lets each connection end with its next answer, and returns
// when none is left or the grace has passed.
func (host *Host) stop(ctx context.Context) {
	begun := host.clock.Now()
	host.stopping.Store(true)
	events.Log(host.logger, events.EntryStopping, zap.Int("Connections", host.server.Open()), zap.Duration("Grace", host.currentBounds().Grace))
	host.server.Stop()
	go host.keeper.Resign(ctx)
	grace := host.currentBounds().Grace
	host.waitUntil(ctx, begun, time.Duration(takeShare*float64(grace)))
	host.relay.EndAt(begun.Add(grace - endMargin))
	host.waitUntil(ctx, begun, time.Duration(acceptShare*float64(grace)))
	err := host.listener.Stop()
	<-host.accepted
	events.Log(host.logger, events.EntryClosed, zap.Duration("After", host.clock.Now().Sub(begun)), zap.Int("Connections", host.server.Open()), zap.Error(err))
	for host.server.Open() > 0 && host.clock.Now().Sub(begun) < grace-endMargin-withdrawTimeout {
		host.server.CloseIdle()
		pause(ctx, stopPace)
	}
	withdrawn := make(chan struct{})
	go func() {
		defer close(withdrawn)
		host.withdraw(ctx)
	}()
	for host.server.Open() > 0 && host.clock.Now().Sub(begun) < grace-endMargin {
		host.server.CloseIdle()
		pause(ctx, stopPace)
	}
	<-withdrawn
	host.finishKeeping(ctx)
	events.Log(host.logger, events.EntryStopped, zap.Int("Cut", host.server.Open()), zap.Duration("Took", host.clock.Now().Sub(begun)))
}

// finishKeeping tells the others that this host grants nothing any more, should it be keeper still: it could
// not resign while the store is away. The word is sent twice, since a datagram may be lost; each host that has
// it passes it on.
func (host *Host) finishKeeping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	host.keeper.Finish(ctx)
	if ctx.Err() != nil {
		return
	}
	host.mesh.Farewell()
	host.mesh.Farewell()
}

func (host *Host) waitUntil(ctx context.Context, begun cherrykeel.Instant, elapsed time.Duration) {
	for host.clock.Now().Sub(begun) < elapsed && ctx.Err() == nil {
		pause(ctx, stopPace)
	}
}

// withdraw takes this host's record away. The others count hosts to tell whether they are more than half;
// those that have left for good would make that impossible.
func (host *Host) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	_, err := host.platform.Hosts.Put(ctx, host.self.Name, nil)
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.String("Key", host.self.Name), zap.Error(err))
	}
}
