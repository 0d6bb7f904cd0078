package intent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fold"
)

const (
	// HeaderReplayed marks an answer that was stored for an earlier request with the same Idempotency-Key.
	HeaderReplayed = "Idempotency-Replayed"
	// maxReplayBytes is the largest body of an answer that is stored for repeats.
	maxReplayBytes = 4 << 10
	// maxKeyLength bounds an Idempotency-Key, in bytes.
	maxKeyLength = 255
	// beginShare is the share of a request's remaining time in which the log must confirm its intent.
	beginShare = 0.5
	// retryAfterLog is the Retry-After of a request that is refused because the log did not confirm its intent.
	retryAfterLog = 2 * time.Second
	// retryAfterRun is the Retry-After of a repeat while the result of the first request is not known.
	retryAfterRun = time.Second
)

func encode(batch fold.IntentBatch) ([]byte, error) {
	data, err := json.Marshal(batch)
	return data, errors.WithStack(err)
}

type stage struct {
	guard *Guard
	clock cherrykeel.Clock
}

// NewStage returns the stage that guards the services whose RepeatGuard is "log".
func NewStage(guard *Guard, clock cherrykeel.Clock) cherrykeel.Stage {
	return &stage{guard: guard, clock: clock}
}

// Serve implements cherrykeel.Stage.
func (stage *stage) Serve(exchange *cherrykeel.Exchange, next cherrykeel.Next) *cherrykeel.Failure {
	if exchange.Service.RepeatGuard != cherrykeel.RepeatGuardLog || isSafeMethod(exchange.Request.Method) {
		return next(exchange)
	}
	begin := fold.IntentBegin{
		Service: exchange.Service.Path,
		Key:     exchange.IdempotencyKey,
		Digest:  requestDigest(exchange),
		Request: exchange.ID,
	}
	if begin.Key == "" || len(begin.Key) > maxKeyLength {
		return cherrykeel.Refuse(http.StatusBadRequest, "missing-idempotency-key", "the service %s needs an Idempotency-Key of 1 to %d characters", begin.Service, maxKeyLength)
	}
	intent, mayRun, failure := stage.recordBegin(exchange, begin)
	if failure != nil {
		return failure
	}
	if !mayRun {
		return answerRepeat(exchange, begin, intent)
	}
	failure = next(exchange)
	stage.recordEnd(exchange, begin, failure)
	return failure
}

// isSafeMethod reports whether a method changes nothing, so that its requests need no guard.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// requestDigest returns a hash of the request's method, URI and body.
func requestDigest(exchange *cherrykeel.Exchange) string {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%s %s\n", exchange.Request.Method, exchange.Request.URL.RequestURI())
	_, _ = hash.Write(exchange.Body)
	return fmt.Sprintf("%016x", hash.Sum64())
}

// recordBegin writes the intent to the log. It returns the key's state and whether the request may be sent.
func (stage *stage) recordBegin(exchange *cherrykeel.Exchange, begin fold.IntentBegin) (fold.Intent, bool, *cherrykeel.Failure) {
	remaining := exchange.Deadline.Sub(stage.clock.Now())
	limit := time.Duration(beginShare * float64(remaining))
	ctx, cancel := context.WithTimeout(exchange.Request.Context(), limit)
	defer cancel()
	intent, mayRun, err := stage.guard.Begin(ctx, begin)
	if err == nil {
		return intent, mayRun, nil
	}
	failure := cherrykeel.Refuse(http.StatusServiceUnavailable, "log-out", "the service %s needs the platform's log to keep repeats from running twice, and the log did not confirm the request: %v", begin.Service, err)
	failure.RetryAfter = retryAfterLog
	failure.Cause = err
	return intent, false, failure
}

// answerRepeat answers a request whose Idempotency-Key is already in use.
func answerRepeat(exchange *cherrykeel.Exchange, begin fold.IntentBegin, intent fold.Intent) *cherrykeel.Failure {
	switch {
	case intent.Digest != begin.Digest:
		return cherrykeel.Refuse(http.StatusUnprocessableEntity, "key-reused", "the Idempotency-Key was used for another request; this one was not run")
	case intent.Answer != nil:
		replay(exchange, intent)
		return nil
	case intent.Status != 0:
		return cherrykeel.FailUnknown(http.StatusConflict, "already-answered", "a request with this Idempotency-Key was answered with status %d; its answer was too large to store", intent.Status)
	}
	failure := cherrykeel.FailUnknown(http.StatusConflict, "already-begun", "a request with this Idempotency-Key was started through %s at %s; its result is not known yet", intent.Host, intent.Time.Format(time.RFC3339))
	failure.RetryAfter = retryAfterRun
	return failure
}

// replay answers a request with the stored answer of its key.
func replay(exchange *cherrykeel.Exchange, intent fold.Intent) {
	header := exchange.Writer.Header()
	header.Set("Content-Type", intent.Answer.ContentType)
	header.Set(HeaderReplayed, "true")
	header.Set(cherrykeel.HeaderRequest, exchange.ID)
	exchange.Writer.WriteHeader(intent.Status)
	_, _ = exchange.Writer.Write(intent.Answer.Body)
}

// recordEnd writes to the log how the request ended. If its outcome is unknown, nothing is written, so that its key
// stays in use until the intent expires.
func (stage *stage) recordEnd(exchange *cherrykeel.Exchange, begin fold.IntentBegin, failure *cherrykeel.Failure) {
	end := fold.IntentEnd{Service: begin.Service, Key: begin.Key, Request: begin.Request}
	switch {
	case failure != nil && failure.Outcome == cherrykeel.NotRun:
		end.NotRun = true
	case failure != nil || exchange.Answer == nil:
		return
	default:
		end.Status = exchange.Answer.Status
		if exchange.Answer.Whole && len(exchange.Answer.Body) <= maxReplayBytes {
			end.Answer = &fold.IntentAnswer{ContentType: exchange.Answer.ContentType, Body: exchange.Answer.Body}
		}
	}
	stage.guard.End(end)
}
