package tunnel

import (
	"context"
	"net"
	"time"

	"cherrykeel/reach"
)

// attempt opens one connection: directly, through another host, or both, whichever succeeds first.
type attempt struct {
	dialer  *Dialer
	network string
	address string
	plan    reach.Plan
	// order means that the connection carries orders to the upstream only.
	order bool
	// directError is the error of the direct attempt, nil while there is none. replies counts what other hosts have
	// answered instead of opening the connection.
	directError error
	replies     reach.Replies
	// declined names the hosts that were asked with their replies.
	declined []string
}

type directResult struct {
	conn net.Conn
	err  error
}

type tunnelResult struct {
	asked askedResult
	err   error
}

// run returns the first connection that is open.
func (attempt *attempt) run(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var direct chan directResult
	if attempt.plan.Direct {
		direct = attempt.startDirect(ctx)
	}
	var tunneled chan tunnelResult
	started := false
	startTunnel := func() {
		if !started && attempt.plan.Tunnel {
			tunneled = attempt.startTunnel(ctx)
		}
		started = true
	}
	timer := time.NewTimer(attempt.plan.HeadStart)
	defer timer.Stop()
	var failure error
	for direct != nil || tunneled != nil || !started && attempt.plan.Tunnel {
		select {
		case <-timer.C:
			startTunnel()
		case result := <-direct:
			direct = nil
			if result.err == nil {
				attempt.dialer.recordConnected(attempt.address)
				go discardTunnel(tunneled)
				return result.conn, nil
			}
			attempt.directError, failure = result.err, result.err
			startTunnel()
		case result := <-tunneled:
			tunneled = nil
			if result.err == nil {
				go discardDirect(direct)
				return attempt.dialer.newConn(attempt, result.asked), nil
			}
			attempt.replies, attempt.declined, failure = result.asked.replies, result.asked.declined, result.err
		}
	}
	return nil, failure
}

func (attempt *attempt) startDirect(ctx context.Context) chan directResult {
	results := make(chan directResult, 1)
	go func() {
		conn, err := attempt.dialer.Dial(ctx, attempt.network, attempt.address)
		results <- directResult{conn: conn, err: err}
	}()
	return results
}

func (attempt *attempt) startTunnel(ctx context.Context) chan tunnelResult {
	results := make(chan tunnelResult, 1)
	go func() {
		asked, err := attempt.dialer.askAll(ctx, attempt.dialer.order(attempt.address), attempt.address, attempt.order)
		results <- tunnelResult{asked: asked, err: err}
	}()
	return results
}

// newConn returns the tunnel that another host has opened.
func (dialer *Dialer) newConn(attempt *attempt, asked askedResult) net.Conn {
	dialer.recordTunneled(attempt, asked.peer.Name)
	opened := &conn{TCPConn: asked.socket, dialer: dialer, host: asked.peer.Name, address: attempt.address, marksEnd: asked.marksEnd}
	dialer.remember(opened)
	return opened
}

// discardDirect closes a direct connection that came after a tunnel.
func discardDirect(results <-chan directResult) {
	if results == nil {
		return
	}
	result := <-results
	if result.err == nil {
		_ = result.conn.Close()
	}
}

// discardTunnel closes a tunnel that came after a direct connection.
func discardTunnel(results <-chan tunnelResult) {
	if results == nil {
		return
	}
	result := <-results
	if result.err == nil {
		reset(result.asked.socket)
	}
}
