package conns

import (
	"context"
	"net"
)

// ResetOnClose returns a dial function whose connections are reset when they are closed, so that what was sent and
// not delivered never arrives. A closed connection's bytes are sent again by the kernel, and an order that its sender
// has given up would be carried out after a cut of the link has healed, if that is sooner than the user timeout. A
// write to the store that was given up is likewise less likely to be carried out late.
func ResetOnClose(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		socket, plain := conn.(*net.TCPConn)
		if plain {
			err = socket.SetLinger(0)
		}
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return conn, nil
	}
}
