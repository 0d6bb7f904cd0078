package fakes

import (
	"fmt"
	"io"
	"net"
)

// maxRawRequestBytes bounds what is read of a request before it is answered; those of tests come in one piece.
const maxRawRequestBytes = 64 << 10

// RawServer answers the first request of each connection with the same bytes, whatever they are, and closes it.
type RawServer struct {
	listener net.Listener
	answer   string
}

// NewRawServer returns a server whose answer has a head, complete but for the fields of its body, and a JSON body. It returns
// the error of listening on a loopback address.
func NewRawServer(head, body string) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &RawServer{
		listener: listener,
		answer:   fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body),
	}
	go server.accept()
	return server, nil
}

// Address returns the server's IP and port.
func (server *RawServer) Address() string {
	return server.listener.Addr().String()
}

// Close ends the server. It returns the error of closing its listener.
func (server *RawServer) Close() error {
	return server.listener.Close()
}

func (server *RawServer) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		go server.serve(conn)
	}
}

func (server *RawServer) serve(conn net.Conn) {
	defer conn.Close()
	_, err := conn.Read(make([]byte, maxRawRequestBytes))
	if err == nil {
		_, _ = io.WriteString(conn, server.answer)
	}
}
