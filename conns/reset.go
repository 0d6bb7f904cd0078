package conns

import (
	"context"
	"net"
)

// ResetOnClose returns a DialFunc whose connections are reset when they are closed, so that bytes that were sent but
// not delivered never arrive. Otherwise the kernel would go on retransmitting them, and an order that its sender has given
// up would be executed when the network recovers within the user timeout. Likewise, a write to the store that was given
// up is less likely to be executed late.
func ResetOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		socket, ok := conn.(interface{ SetLinger(seconds int) error })
		if ok {
			err = socket.SetLinger(0)
		}
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return conn, nil
	}
}
