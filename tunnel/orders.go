package tunnel

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// orderConn is a connection for orders to an upstream, which may be repeated. A connection that hangs would delay an
// owner's renewal until its lease ends.
type orderConn struct {
	net.Conn
	dialer  *Dialer
	address string
}

// DialOrder is DialContext for a connection that carries only what may be repeated. It is closed as soon as its link is
// silent, or the host through which it goes stops.
func (dialer *Dialer) DialOrder(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := dialer.open(ctx, network, address, true)
	if err != nil {
		return nil, err
	}
	order := &orderConn{Conn: opened, dialer: dialer, address: address}
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.orders[order] = true
	return order, nil
}

// Read implements net.Conn. When the system gives a connection up as silent, others that go the same way would hang as
// long: each of them would cost its owner a renewal.
func (order *orderConn) Read(buffer []byte) (int, error) {
	count, err := order.Conn.Read(buffer)
	if errors.Is(err, syscall.ETIMEDOUT) {
		order.dialer.closeOrders(func(other *orderConn) bool { return other.goesLike(order) })
	}
	return count, err
}

// goesLike reports whether two connections share their way: the host in between, or the link to the upstream.
func (order *orderConn) goesLike(other *orderConn) bool {
	first, firstTunneled := order.Conn.(*conn)
	second, secondTunneled := other.Conn.(*conn)
	if firstTunneled && secondTunneled {
		return first.host == second.host
	}
	return !firstTunneled && !secondTunneled && order.address == other.address
}

// Close implements net.Conn.
func (order *orderConn) Close() error {
	order.dialer.mutex.Lock()
	delete(order.dialer.orders, order)
	order.dialer.mutex.Unlock()
	return order.Conn.Close()
}

// SetLinger is that of net.TCPConn.
func (order *orderConn) SetLinger(seconds int) error {
	lingerer, ok := order.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	return lingerer.SetLinger(seconds)
}

func (order *orderConn) isDirect() bool {
	_, tunneled := order.Conn.(*conn)
	return !tunneled
}

// isStale reports whether the connection goes through a host that stops.
func (order *orderConn) isStale() bool {
	tunneled, ok := order.Conn.(*conn)
	if !ok {
		return false
	}
	order.dialer.mutex.Lock()
	defer order.dialer.mutex.Unlock()
	return order.dialer.peers.IsLeaving(tunneled.host)
}

// closeOrders makes the selected connections fail. Whoever uses them closes them.
func (dialer *Dialer) closeOrders(isSelected func(order *orderConn) bool) {
	dialer.mutex.Lock()
	var orders []*orderConn
	for order := range dialer.orders {
		orders = append(orders, order)
	}
	dialer.mutex.Unlock()
	for _, order := range orders {
		if isSelected(order) {
			_ = order.SetDeadline(time.Unix(1, 0))
		}
	}
}
