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

	"cherrykeel/heads"
)

var (
	// ErrBroken means that the connection failed or the answer was incomplete.
	ErrBroken = errors.New("the connection to the upstream broke")
	// ErrReset is an ErrBroken that means that the connection was reset, as upstreams do that have too many connections.
	// A process that ends during a request closes its connections instead.
	ErrReset = errors.WithMessage(ErrBroken, "reset")
	// ErrNotReady means that SendOptions.Ready reported false, so the request was not sent.
	ErrNotReady = errors.New("the request must no longer be sent")
	// ErrCloseDelimited means that the answer ends only with its connection, so an incomplete one cannot be recognized.
	ErrCloseDelimited = errors.New("the answer ends only with its connection")
)

// pastTime as a deadline makes reads and writes fail at once.
var pastTime = time.Unix(1, 0)

// Answer is an upstream's answer whose head has arrived. Read returns its body, and Close must be called.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the answer's header fields.
	Header http.Header
	// Length is the body's length in bytes, or -1 if the head does not state it.
	Length     int64
	ctx        context.Context
	response   *http.Response
	conn       *conn
	pool       *Pool
	stopCancel func() bool
	complete   bool
	// closes means that a skipped answer said that the connection closes.
	closes  bool
	closed  bool
	onClose func()
}

// OnClose sets a function that the first Close calls.
func (answer *Answer) OnClose(call func()) {
	answer.onClose = call
}

// Via returns the name of the host through which the answer came, or "" if it came directly.
func (answer *Answer) Via() string {
	return answer.conn.via()
}

// Connection returns the serial number of the connection on which the answer came, for logs.
func (answer *Answer) Connection() int64 {
	return answer.conn.serial
}

// Sends returns how many requests the connection has carried, with the answered one, for logs.
func (answer *Answer) Sends() int {
	return answer.conn.carried.sends
}

// Send writes the request and reads the head of its answer; the end of the context makes the connection fail. If Send
// returns an error, Progress is how far the request got, and a connection on which it was sent is closed.
func (pool *Pool) Send(ctx context.Context, address string, request *http.Request) (*Answer, Progress, error) {
	return pool.SendWithOptions(ctx, address, request, SendOptions{MaxIdle: pool.idleTimeout})
}

// SendOptions are a request's requirements for its connection.
type SendOptions struct {
	// MaxIdle is how long the connection may have been idle. An upstream may drop an idle connection without notice;
	// the next request on it is then reset, and may have run.
	MaxIdle time.Duration
	// ResetWait is how long a new connection must stay open before the first byte is sent; 0 sends at once. An upstream
	// with too many connections accepts one more and resets it, and a request sent by then may have run.
	ResetWait time.Duration
	// ID names the request in its answers; a connection carries each ID once. Empty means that answers name no request.
	ID string
	// Repeatable requests are broken off when the link to their address turns out to be silent (Pool.BreakSilent).
	Repeatable bool
	// AnswerWithin is the time within which an answer is expected on a connection that was used before; 0 means no
	// expectation. When it is over, the pool opens another connection, which shows whether the link still works.
	AnswerWithin time.Duration
	// Ready, if not nil, is called once the connection is established, just before the first byte is sent. It may change
	// the request, or return false to cancel it: the conditions for sending may have changed during a slow connect or
	// while the process was suspended.
	Ready func() bool
}

// SendIfReady is Send with a check just before the first byte is sent; see SendOptions.Ready.
func (pool *Pool) SendIfReady(ctx context.Context, address string, request *http.Request, ready func() bool) (*Answer, Progress, error) {
	return pool.SendWithOptions(ctx, address, request, SendOptions{MaxIdle: pool.idleTimeout, Ready: ready})
}

// SendWithOptions is Send over a connection that meets the options.
func (pool *Pool) SendWithOptions(ctx context.Context, address string, request *http.Request, options SendOptions) (*Answer, Progress, error) {
	conn, err := pool.acquire(ctx, address, options)
	if err != nil {
		return nil, NotSent, err
	}
	if options.Ready != nil && !options.Ready() {
		pool.release(conn)
		return nil, NotSent, errors.WithStack(ErrNotReady)
	}
	conn.carried.add(options.ID)
	conn.writtenBytes = 0
	idle := conn.idleTime()
	defer pool.watchForAnswer(conn, options)()
	stop := context.AfterFunc(ctx, func() {
		_ = conn.socket.SetDeadline(pastTime)
	})
	answer, progress, err := conn.exchange(request, pool.allowCloseDelimited)
	if err != nil {
		stop()
		if conn.via() != "" {
			err = errors.WithMessage(err, "through "+conn.via())
		}
		pool.discard(conn)
		if conn.closedUnderRequest && conn.via() == "" && ctx.Err() == nil {
			pool.onClosed(conn.address)
		}
		if progress == Sent && ctx.Err() == nil && !pool.isBroken(conn) && !conn.source.hasRead() {
			pool.recordLoss(idle)
		}
		return nil, progress, err
	}
	pool.recordArrival(conn)
	answer.ctx = ctx
	answer.pool = pool
	answer.stopCancel = stop
	return answer, AnswerBegun, nil
}

// exchange writes the request and reads the head of its answer.
func (conn *conn) exchange(request *http.Request, allowCloseDelimited bool) (*Answer, Progress, error) {
	err := request.Write(conn.writer)
	if err == nil {
		err = conn.writer.Flush()
	}
	if err != nil {
		return nil, conn.writeProgress(), brokenError(err)
	}
	response, err := conn.readHead(request)
	if err != nil {
		return nil, Sent, err
	}
	if isCloseDelimited(response) && !(allowCloseDelimited && conn.marksEnd() && response.StatusCode != http.StatusSwitchingProtocols) {
		return nil, AnswerBegun, errors.WithStack(ErrCloseDelimited)
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, response: response, conn: conn}
	return answer, AnswerBegun, nil
}

// brokenError returns ErrReset or ErrBroken with the message of the connection's error.
func brokenError(err error) error {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return errors.Wrap(ErrReset, err.Error())
	}
	return errors.Wrap(ErrBroken, err.Error())
}

// writeProgress returns how far a request got whose write failed.
func (conn *conn) writeProgress() Progress {
	if conn.writtenBytes == 0 {
		return NotSent
	}
	return PartlySent
}

// isCloseDelimited reports whether the answer ends only with its connection.
func isCloseDelimited(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0
	return response.ContentLength < 0 && !chunked || response.StatusCode == http.StatusSwitchingProtocols
}

// Read reads the body. It returns io.EOF only after the complete body, and ErrBroken or ErrReset if the connection fails.
func (answer *Answer) Read(buffer []byte) (int, error) {
	count, err := answer.readBody(buffer)
	if err == io.EOF {
		answer.complete = true
	}
	return count, err
}

// readBody reads the body. Its end is not believed if what comes behind it is no trailer.
func (answer *Answer) readBody(buffer []byte) (int, error) {
	count, err := answer.response.Body.Read(buffer)
	if err != nil && err != io.EOF {
		return count, brokenError(err)
	}
	if err == io.EOF {
		wrong := heads.CheckNames(answer.response.Trailer)
		if wrong != nil {
			return count, answer.conn.malformedError(wrong)
		}
	}
	return count, err
}

// IsComplete reports whether the complete body has been read.
func (answer *Answer) IsComplete() bool {
	return answer.complete
}

// DisableReuse makes Close close the connection, even after a complete answer.
func (answer *Answer) DisableReuse() {
	answer.complete = false
}

// Close ends the exchange. The connection is reused only after a complete answer with no further bytes behind it.
func (answer *Answer) Close() {
	if answer.closed {
		return
	}
	answer.closed = true
	if answer.onClose != nil {
		defer answer.onClose()
	}
	untouched := answer.stopCancel()
	reusable := answer.complete && untouched && !answer.closes && !answer.response.Close && !answer.conn.hasUnread() && !answer.conn.carried.isFull()
	if !reusable {
		answer.pool.discard(answer.conn)
		return
	}
	answer.conn.idleLimit = answer.idleLimit()
	answer.pool.release(answer.conn)
}

// idleLimitMargin is how long before its announced timeout an idle connection is no longer used: the timeout is announced
// in whole seconds and counted from the upstream's side.
const idleLimitMargin = time.Second

// idleLimit returns how long the connection may be idle: the pool's idle timeout, or less if the answer's Keep-Alive header
// announces an earlier close.
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
