package tunnel

import (
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"cherrykeel/events"
	"cherrykeel/sock"
)

const (
	// copyBytes is the size of the buffer of each direction.
	copyBytes = 4096
	// closingTime is how long a side that has ended orderly leaves the other one to end.
	closingTime = 5 * time.Second
	// defaultLinger makes the system deliver what is left when a socket is closed.
	defaultLinger = -1
)

// buffers holds buffers of tunnels that have ended.
var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copying copies the bytes of a tunnel between another host, near, and an upstream, far.
type copying struct {
	server     *Server
	generation int
	near, far  *net.TCPConn
	resetOnce  sync.Once
}

// run copies in both directions until both have ended.
func (copying *copying) run() {
	var ended sync.WaitGroup
	ended.Go(func() { copying.copy(copying.far, copying.near) })
	ended.Go(func() { copying.copy(copying.near, copying.far) })
	ended.Wait()
	_ = copying.near.SetLinger(defaultLinger)
	_ = copying.near.Close()
	_ = copying.far.Close()
}

// copy copies one direction. An orderly end is passed on as one, and everything else as a reset, which also discards
// bytes that were not delivered: the other side's request may have been given up.
func (copying *copying) copy(to, from *net.TCPConn) {
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
	for {
		count, err := from.Read(buffer[:])
		if !copying.server.isCurrent(copying.generation) {
			copying.reset(true)
			return
		}
		if count > 0 && from == copying.near && sock.IsReset(from) {
			// The host that asked has given up what it sent, maybe long ago: an order among it would reach its upstream after
			// the keeper has counted it as lost.
			copying.reset(false)
			return
		}
		if count > 0 {
			_, writeErr := to.Write(buffer[:count])
			if writeErr != nil {
				copying.reset(false)
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			_ = to.SetReadDeadline(time.Now().Add(closingTime))
			return
		}
		if err != nil {
			copying.reset(false)
			return
		}
	}
}

// reset resets both sides.
func (copying *copying) reset(suspended bool) {
	copying.resetOnce.Do(func() {
		if suspended {
			events.Log(copying.server.dialer.Logger, events.TunnelCut, zap.String("Address", copying.far.RemoteAddr().String()))
		}
		reset(copying.near)
		reset(copying.far)
	})
}
