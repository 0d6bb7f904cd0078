package tunnel

import "net"

// conn is a tunnel, as the host that asked for it uses it.
type conn struct {
	*net.TCPConn
	dialer  *Dialer
	host    string
	address string
	// marksEnd means that the tunnel ends in order only if the upstream has ended it so.
	marksEnd bool
}

// Via returns the name of the host through which the connection goes.
func (conn *conn) Via() string {
	return conn.host
}

// MarksEnd reports whether an orderly end of the connection is the upstream's, and not the end of the host in between.
func (conn *conn) MarksEnd() bool {
	return conn.marksEnd
}

// IsStale reports whether the connection must not be used again: its host stops, or this host reaches the upstream
// itself again.
func (conn *conn) IsStale() bool {
	return conn.dialer.isStale(conn.host, conn.address)
}

// Close implements net.Conn.
func (conn *conn) Close() error {
	conn.dialer.forget(conn)
	return conn.TCPConn.Close()
}
