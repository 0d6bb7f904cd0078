package drain

import (
	"net"

	"cherrykeel/sock"
)

// conn is an accepted connection whose unread bytes are known.
type conn struct {
	net.Conn
	intake *sock.Intake
}

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	return conn.intake.Read(buffer)
}

// CloseWrite lets net/http end a connection whose request it has not read to its end.
func (conn *conn) CloseWrite() error {
	half, ok := conn.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// watched hands out a listener's connections as ones whose unread bytes are known.
type watched struct {
	net.Listener
}

// Accept implements net.Listener.
func (watched watched) Accept() (net.Conn, error) {
	socket, err := watched.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: socket, intake: sock.NewIntake(socket)}, nil
}
