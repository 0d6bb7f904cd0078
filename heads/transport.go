package heads

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// transport implements http.RoundTripper.
type transport struct {
	next  *http.Transport
	check func(header http.Header) string
}

// Option is an option of NewTransport.
type Option func(transport *transport)

// WithCheck sets a function that returns what else is wrong with an answer's fields, or "".
func WithCheck(check func(header http.Header) string) Option {
	return func(transport *transport) { transport.check = check }
}

// NewTransport returns a transport like the given one that fails with ErrMalformed, and closes the connection, if what comes
// back is no answer. The library would return it.
func NewTransport(like *http.Transport, options ...Option) http.RoundTripper {
	next := like.Clone()
	dial := next.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	next.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: socket}, nil
	}
	transport := &transport{next: next, check: func(http.Header) string { return "" }}
	for _, option := range options {
		option(transport)
	}
	return transport
}

// RoundTrip implements http.RoundTripper.
func (transport *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var current atomic.Pointer[scanner]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		checked, ok := info.Conn.(*conn)
		if ok {
			current.Store(checked.begin())
		}
	}}
	response, err := transport.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	scanner := current.Load()
	if scanner == nil {
		return response, err
	}
	if response != nil {
		scanner.restoreConnection(response.Header)
		scanner.reject(transport.check(response.Header))
	}
	wrong := scanner.failure()
	switch {
	case wrong == nil && err == nil:
		return withCheckedTrailer(response, scanner), nil
	case wrong == nil:
		return nil, err
	case response != nil:
		_ = response.Body.Close()
	}
	return nil, errors.WithMessagef(wrong, "on the connection from %s", scanner.socket.LocalAddr())
}

// CloseIdleConnections closes the connections that carry no request; http.Client looks for this method.
func (transport *transport) CloseIdleConnections() {
	transport.next.CloseIdleConnections()
}

// checkedBody is a body whose end is believed only if its trailer is one.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	scanner  *scanner
}

// withCheckedTrailer returns the response, if there is one that a scanner has seen, with a checkedBody.
func withCheckedTrailer(response *http.Response, scanner *scanner) *http.Response {
	if response != nil && scanner != nil {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response, scanner: scanner}
	}
	return response
}

// Read implements io.Reader.
func (checkedBody *checkedBody) Read(buffer []byte) (int, error) {
	count, err := checkedBody.ReadCloser.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	wrong := CheckNames(checkedBody.response.Trailer)
	if wrong != nil {
		_ = checkedBody.scanner.socket.Close()
		return count, wrong
	}
	return count, io.EOF
}
