package edge

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
)

// requestTimeout returns the service's timeout, or the caller's if that is shorter.
func requestTimeout(exchange *cherrykeel.Exchange) time.Duration {
	limit := exchange.Service.Timeout
	requested, err := strconv.Atoi(exchange.Request.Header.Get(cherrykeel.HeaderTimeout))
	if err != nil || requested <= 0 {
		return limit
	}
	return min(limit, time.Duration(requested)*time.Millisecond)
}

type body struct {
	clock cherrykeel.Clock
}

// NewBody returns the stage that reads the whole request body before forwarding. A caller that sends slowly then
// occupies no upstream slot, and a failed attempt can be repeated.
func NewBody(clock cherrykeel.Clock) cherrykeel.Stage {
	return &body{clock: clock}
}

// Serve implements cherrykeel.Stage.
func (body *body) Serve(exchange *cherrykeel.Exchange, next cherrykeel.Next) *cherrykeel.Failure {
	request := exchange.Request
	if request.Body == nil || request.ContentLength == 0 {
		return next(exchange)
	}
	control := http.NewResponseController(exchange.Writer)
	left := exchange.Deadline.Sub(body.clock.Now())
	_ = control.SetReadDeadline(time.Now().Add(left))
	limited := http.MaxBytesReader(exchange.Writer, request.Body, int64(exchange.Service.MaxBodyBytes))
	data, err := io.ReadAll(limited)
	if err != nil {
		return bodyFailure(exchange, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	exchange.Body = data
	return next(exchange)
}

func bodyFailure(exchange *cherrykeel.Exchange, err error) *cherrykeel.Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return cherrykeel.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body exceeds the %d bytes that %s allows", exchange.Service.MaxBodyBytes, exchange.Service.Path)
	}
	failure := cherrykeel.Refuse(http.StatusBadRequest, "body-broken", "the body could not be read: %v", err)
	failure.Cause = err
	return failure
}
