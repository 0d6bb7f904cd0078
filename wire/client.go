package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrCallFailed means that a peer could not be reached, did not answer in time, or answered with an error.
var ErrCallFailed = errors.New("the call to the peer failed")

const dialTimeout = 300 * time.Millisecond

// Client calls other hosts, its peers, over one connection to each.
type Client struct {
	mutex sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client that connects to a peer on the first call.
func NewClient() *Client {
	return &Client{conns: map[string]*jsonrpc2.Conn{}}
}

// Call sends a message to the peer at an address and waits for its reply until the context ends. Every error is
// ErrCallFailed.
func (client *Client) Call(ctx context.Context, address, method string, message, reply any) error {
	conn, err := client.connTo(ctx, address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, message, reply)
	if err == nil {
		return nil
	}
	var rpcError *jsonrpc2.Error
	if !errors.As(err, &rpcError) && ctx.Err() == nil {
		client.removeConn(address, conn)
	}
	return errors.Wrapf(ErrCallFailed, "%s at %s: %v", method, address, err)
}

// connTo returns the connection to an address, and opens it if there is none.
func (client *Client) connTo(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	client.mutex.Lock()
	conn, exists := client.conns[address]
	client.mutex.Unlock()
	if exists {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrCallFailed, err.Error())
	}
	return client.addConn(address, socket), nil
}

// addConn keeps a new connection, or closes it if another call has added one in the meantime.
func (client *Client) addConn(address string, socket net.Conn) *jsonrpc2.Conn {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if other, exists := client.conns[address]; exists {
		_ = socket.Close()
		return other
	}
	stream := jsonrpc2.NewBufferedStream(socket, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(rejectCall), discardLogs)
	client.conns[address] = conn
	go client.removeOnDisconnect(address, conn)
	return conn
}

func (client *Client) removeOnDisconnect(address string, conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	client.removeConn(address, conn)
}

// removeConn closes a connection; the next call to the address opens a new one.
func (client *Client) removeConn(address string, conn *jsonrpc2.Conn) {
	client.mutex.Lock()
	if client.conns[address] == conn {
		delete(client.conns, address)
	}
	client.mutex.Unlock()
	_ = conn.Close()
}

// Close closes all connections; calls on them fail.
func (client *Client) Close() {
	client.mutex.Lock()
	conns := client.conns
	client.conns = map[string]*jsonrpc2.Conn{}
	client.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// rejectCall answers requests from the peer: a client's connection carries requests to the peer only.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this connection accepts no requests from the peer that was called"}
}
