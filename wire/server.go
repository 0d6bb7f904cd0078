package wire

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// discardLogs keeps the library from logging broken connections to standard error; callers get them as errors.
var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Method handles the calls of one method; params is the message in JSON, the result is the reply.
type Method func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls from other hosts.
type Server struct {
	methods  map[string]Method
	listener net.Listener
	mutex    sync.Mutex
	conns    map[*jsonrpc2.Conn]bool
	closed   bool
}

// Listen serves the methods at an address until Close.
func Listen(address string, methods map[string]Method) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &Server{methods: methods, listener: listener, conns: map[*jsonrpc2.Conn]bool{}}
	go server.acceptConns()
	return server, nil
}

// Address returns the address that the server listens on.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// Close stops listening and closes all connections.
func (server *Server) Close() {
	_ = server.listener.Close()
	server.mutex.Lock()
	server.closed = true
	conns := server.conns
	server.conns = map[*jsonrpc2.Conn]bool{}
	server.mutex.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
}

func (server *Server) acceptConns() {
	for {
		socket, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.serveConn(socket)
	}
}

func (server *Server) serveConn(socket net.Conn) {
	stream := jsonrpc2.NewBufferedStream(socket, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(server.handle)), discardLogs)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		_ = conn.Close()
		return
	}
	server.conns[conn] = true
	go server.removeOnDisconnect(conn)
}

func (server *Server) removeOnDisconnect(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.conns, conn)
}

func (server *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	method, exists := server.methods[request.Method]
	if !exists {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method}
	}
	params := json.RawMessage("{}")
	if request.Params != nil {
		params = *request.Params
	}
	return method(ctx, params)
}
