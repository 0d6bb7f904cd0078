package conns

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrTooLongToSkip means that an answer of another request has more bytes than may be skipped.
var ErrTooLongToSkip = errors.WithMessage(ErrBroken, "an answer of another request is too long")

// Skip discards an answer that is not the one to the request that was sent, and reads the head of the next one on the
// connection. That takes the given time at most, and the skipped body has at most limit bytes. After an error the connection
// is not used again.
func (answer *Answer) Skip(limit int64, within time.Duration) error {
	conn := answer.conn
	answer.closes = answer.closes || answer.response.Close
	if isCloseDelimited(answer.response) {
		return errors.WithStack(ErrCloseDelimited)
	}
	_ = conn.socket.SetReadDeadline(time.Now().Add(within))
	answer.breakIfOver()
	skipped, err := io.Copy(io.Discard, io.LimitReader(answer, limit+1))
	answer.complete = false
	if err != nil {
		return err
	}
	if skipped > limit {
		return errors.WithStack(ErrTooLongToSkip)
	}
	next, err := conn.readHead(answer.response.Request)
	if err != nil {
		return err
	}
	_ = conn.socket.SetReadDeadline(time.Time{})
	answer.breakIfOver()
	if isCloseDelimited(next) && !(answer.pool.allowCloseDelimited && conn.marksEnd()) {
		return errors.WithStack(ErrCloseDelimited)
	}
	answer.Status, answer.Header, answer.Length, answer.response = next.StatusCode, next.Header, next.ContentLength, next
	return nil
}

// breakIfOver makes the connection fail if the context has ended or the link is silent. Both have set a deadline for that,
// which may just have been replaced.
func (answer *Answer) breakIfOver() {
	if answer.ctx.Err() != nil || answer.pool.isBroken(answer.conn) {
		_ = answer.conn.socket.SetDeadline(pastTime)
	}
}
