package conns

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrBroken means that the connection failed or the answer was not whole.
	ErrBroken = errors.New("the connection to the upstream broke")
	// ErrReset is an ErrBroken that means that the connection was reset, as upstreams do that are full: a process that
	// ends under a request closes its connection.
	ErrReset = errors.WithMessage(ErrBroken, "reset")
	// ErrNotReady means that the request was not to be sent any more when the connection was there.
	ErrNotReady = errors.New("the request was not to be sent any more")
	// ErrCloseDelimited means that the answer does not say where it ends, so it cannot be known to be whole.
	ErrCloseDelimited = errors.New("the answer does not say where it ends")
)

var pastTime = time.Unix(1, 0)

// Answer is an upstream's answer whose head has arrived.
type Answer struct {
	Status int
	Header http.Header
	// Length is -1 when the answer comes in chunks.
	Length     int64
	response   *http.Response
	conn       *conn
	pool       *Pool
	stopCancel func() bool
	complete   bool
	closed     bool
	onClose    func()
}

// OnClose sets what Close calls once.
func (answer *Answer) OnClose(call func()) {
	answer.onClose = call
}

// Send writes the request and reads the head of its answer; the context's end breaks the connection.
// When it returns an error, the connection is closed and Progress says how far the request got.
func (pool *Pool) Send(ctx context.Context, address string, request *http.Request) (*Answer, Progress, error) {
	return pool.SendWithOptions(ctx, address, request, SendOptions{MaxIdle: pool.idleTimeout})
}

// SendOptions says what a request asks of its connection.
type SendOptions struct {
	// MaxIdle is how long ago the connection may have been in use. An upstream may forget an idle connection
	// without notice: what is sent there next is reset, and may have run.
	MaxIdle time.Duration
	// ResetWait is how long a new connection is watched before the first byte is sent, or 0. An upstream with too
	// many connections accepts one more and resets it; what has been sent by then may have run.
	ResetWait time.Duration
	// Ready is asked when the connection is there, just before the first byte is sent; the request may be changed
	// then, or with false not be sent. What was true before a slow connection, or a pause, may not be any more.
	Ready func() bool
}

// SendIfReady is Send for a request that depends on the moment; see Care.Ready.
func (pool *Pool) SendIfReady(ctx context.Context, address string, request *http.Request, ready func() bool) (*Answer, Progress, error) {
	return pool.SendWithOptions(ctx, address, request, SendOptions{MaxIdle: pool.idleTimeout, Ready: ready})
}

// SendWithOptions is Send over a connection that meets the care, or a new one.
func (pool *Pool) SendWithOptions(ctx context.Context, address string, request *http.Request, care SendOptions) (*Answer, Progress, error) {
	conn, err := pool.acquire(ctx, address, care)
	if err != nil {
		return nil, NotSent, err
	}
	if care.Ready != nil && !care.Ready() {
		pool.release(conn)
		return nil, NotSent, errors.WithStack(ErrNotReady)
	}
	conn.writtenBytes = 0
	rested := conn.idleTime()
	stop := context.AfterFunc(ctx, func() {
		_ = conn.socket.SetDeadline(pastTime)
	})
	answer, progress, err := conn.exchange(request, pool.allowCloseDelimited)
	if err != nil {
		stop()
		pool.discard(conn)
		if progress == Sent && ctx.Err() == nil {
			pool.recordLoss(rested)
		}
		return nil, progress, err
	}
	answer.pool = pool
	answer.stopCancel = stop
	return answer, AnswerBegun, nil
}

func (conn *conn) exchange(request *http.Request, takesUnframed bool) (*Answer, Progress, error) {
	err := request.Write(conn.writer)
	if err == nil {
		err = conn.writer.Flush()
	}
	if err != nil {
		return nil, conn.writeProgress(), brokenError(err)
	}
	response, err := conn.readHead(request)
	if err != nil {
		return nil, Sent, brokenError(err)
	}
	if isCloseDelimited(response) && !(takesUnframed && response.StatusCode != http.StatusSwitchingProtocols) {
		return nil, AnswerBegun, errors.WithStack(ErrCloseDelimited)
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, response: response, conn: conn}
	return answer, AnswerBegun, nil
}

func brokenError(err error) error {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return errors.Wrap(ErrReset, err.Error())
	}
	return errors.Wrap(ErrBroken, err.Error())
}

func (conn *conn) writeProgress() Progress {
	if conn.writtenBytes == 0 {
		return NotSent
	}
	return PartlySent
}

func (conn *conn) readHead(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		informational := response.StatusCode >= 100 && response.StatusCode < 200
		if !informational || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// isCloseDelimited reports whether only the end of the connection ends the answer.
func isCloseDelimited(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0
	return response.ContentLength < 0 && !chunked || response.StatusCode == http.StatusSwitchingProtocols
}

// Read reads the body; io.EOF comes only when the whole body has been read.
func (answer *Answer) Read(buffer []byte) (int, error) {
	count, err := answer.response.Body.Read(buffer)
	if err == io.EOF {
		answer.complete = true
	}
	if err != nil && err != io.EOF {
		err = brokenError(err)
	}
	return count, err
}

// IsComplete reports whether the body has been read to its end.
func (answer *Answer) IsComplete() bool {
	return answer.complete
}

// DisableReuse keeps the connection from being used again, also after a whole answer.
func (answer *Answer) DisableReuse() {
	answer.complete = false
}

// Close ends the exchange; the connection is used again only after a whole answer with nothing behind it.
func (answer *Answer) Close() {
	if answer.closed {
		return
	}
	answer.closed = true
	if answer.onClose != nil {
		defer answer.onClose()
	}
	untouched := answer.stopCancel()
	reusable := answer.complete && untouched && !answer.response.Close && answer.conn.reader.Buffered() == 0
	if !reusable {
		answer.pool.discard(answer.conn)
		return
	}
	answer.conn.idleLimit = answer.idleLimit()
	answer.pool.release(answer.conn)
}

// idleLimitMargin is how long before its announced end an idle connection is no longer used:
// the end is told in whole seconds and counted from the upstream's side.
const idleLimitMargin = time.Second

// idleLimit returns how long the connection may be idle, by the answer's Keep-Alive or the pool's setting.
func (answer *Answer) idleLimit() time.Duration {
	for _, part := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err == nil {
			return min(answer.pool.idleTimeout, time.Duration(seconds)*time.Second-idleLimitMargin)
		}
	}
	return answer.pool.idleTimeout
}
