package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/events"
	"cherrykeel/heads"
	"cherrykeel/retry"
)

// Sender sends one attempt to an upstream; conns.Pool implements it.
type Sender interface {
	// SendIfReady writes a request, unless ready reports false once there is a connection, and reads the answer's head.
	SendIfReady(ctx context.Context, address string, request *http.Request, ready func() bool) (*conns.Answer, conns.Progress, error)
}

// maxBufferedAnswer is the largest answer, in bytes, that is read to its end before any of it is forwarded. If such an
// answer breaks off, the caller gets a problem report instead of a truncated answer.
const maxBufferedAnswer = 256 << 10

// maxRetryAfterSeconds bounds a Retry-After, since a time.Duration can't hold each number.
const maxRetryAfterSeconds = 3600

// result is the result of one attempt.
type result struct {
	retryResult retry.Result
	// answer is set, and still open, if the answer is larger than maxBufferedAnswer; body then holds its beginning.
	answer   *conns.Answer
	status   int
	header   http.Header
	body     []byte
	observed observation
	// upstreamName names the upstream that was tried.
	upstreamName string
	// unanswered means that the connection ended before a complete answer, and that this host did not close it.
	// connectionRefused means that no connection could be made, since nothing listens at the upstream's address.
	// ownAnswer means that the upstream sent an answer to this request that did not break off.
	unanswered        bool
	connectionRefused bool
	ownAnswer         bool
	// connectionReset means that the connection was reset, not closed.
	// abandoned means that this host closed the connection before an answer.
	connectionReset bool
	abandoned       bool
	// onStreamed is called when an answer that is larger than maxBufferedAnswer has been streamed, with the upstream's
	// read error or nil.
	onStreamed func(err error)
	// err is the failure to read the answer, or nil.
	err error
}

// hopByHopHeaders belong to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopByHopHeaders(header http.Header) {
	heads.DropConnectionFields(header)
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// outgoingRequest returns the request that is sent to the upstream. The header with the remaining time is added later,
// by slot.readyToSend.
func outgoingRequest(exchange *cherrykeel.Exchange, attemptID string) *http.Request {
	incoming := exchange.Request
	header := incoming.Header.Clone()
	removeHopByHopHeaders(header)
	if _, given := header["User-Agent"]; !given {
		header["User-Agent"] = []string{""}
	}
	header.Set(cherrykeel.HeaderRequest, attemptID)
	header.Set(cherrykeel.HeaderService, exchange.Service.Path)
	header.Del(cherrykeel.HeaderKey)
	header.Del(cherrykeel.HeaderPartition)
	if exchange.Key != "" {
		header.Set(cherrykeel.HeaderKey, exchange.Key)
	}
	if exchange.Partition >= 0 {
		header.Set(cherrykeel.HeaderPartition, strconv.Itoa(exchange.Partition))
	}
	request := &http.Request{
		Method: incoming.Method,
		Host:   incoming.Host,
		URL:    &url.URL{Path: incoming.URL.Path, RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery},
		Header: header,
	}
	if len(exchange.Body) > 0 || incoming.ContentLength > 0 {
		request.Body = io.NopCloser(bytes.NewReader(exchange.Body))
		request.ContentLength = int64(len(exchange.Body))
	}
	return request
}

// attempt sends the request once and reads its answer.
func (forward *forward) attempt(ctx context.Context, exchange *cherrykeel.Exchange, slot *slot, number int) result {
	startedAt := forward.clock.Now()
	attemptID := exchange.ID + "." + strconv.Itoa(number)
	request := outgoingRequest(exchange, attemptID)
	ready := func() bool { return slot.readyToSend(exchange, request) }
	answer, progress, err := forward.sender.SendIfReady(ctx, slot.upstream.server.Address, request, ready)
	var result result
	if err != nil {
		result = resultOfError(progress, err)
		// An upstream that closed the connection itself has stopped working on the request. If this host closed it, the
		// upstream may still work on the request.
		endless := errors.Is(err, conns.ErrHeadTooLong)
		result.observed.abandoned = progress == conns.AnswerBegun || endless || progress != conns.NotSent && ctx.Err() != nil
		result.unanswered = progress.IsUnanswered() && ctx.Err() == nil && !endless
		result.abandoned = progress.IsUnanswered() && ctx.Err() != nil
		result.connectionRefused = errors.Is(err, conns.ErrRefused)
		result.connectionReset = errors.Is(err, conns.ErrReset)
		result.err = err
	} else {
		result = forward.readAnswer(ctx, exchange, answer, attemptID)
	}
	forward.recordMalformed(exchange, slot, &result)
	result.observed.duration = forward.clock.Now().Sub(startedAt)
	result.observed.callerGone = exchange.Request.Context().Err() != nil
	return result
}

// recordMalformed records and logs bytes that are no answer. This host closed their connection, so the upstream may still work
// on the request.
func (forward *forward) recordMalformed(exchange *cherrykeel.Exchange, slot *slot, result *result) {
	var malformed *conns.MalformedError
	if !errors.As(result.err, &malformed) {
		return
	}
	result.unanswered = false
	result.abandoned = true
	result.observed.abandoned = true
	server := slot.upstream.server
	events.Log(forward.logger, events.AnswerMalformed, zap.String("Request", exchange.ID), zap.String("Upstream", server.Name),
		zap.String("Address", server.Address), zap.Int64("Conn", malformed.Connection), zap.String("Detail", malformed.Error()))
}

func resultOfError(progress conns.Progress, err error) result {
	retryResult := retry.Result{Evidence: retry.Uncertain, Detail: err.Error()}
	if progress == conns.NotSent {
		retryResult.Evidence = retry.NeverSent
	}
	// Running out of this host's own connections or time says nothing about the upstream's health.
	localCause := errors.Is(err, conns.ErrConnLimit) || errors.Is(err, conns.ErrNotReady)
	return result{retryResult: retryResult, observed: observation{reached: localCause, reportedLoad: -1}}
}

// readAnswer checks that an answer belongs to the request and reads its body, up to maxBufferedAnswer.
func (forward *forward) readAnswer(ctx context.Context, exchange *cherrykeel.Exchange, answer *conns.Answer, attemptID string) result {
	heads.DropConnectionFields(answer.Header)
	result := result{status: answer.Status, header: answer.Header}
	result.observed = observation{reached: true, reportedLoad: reportedLoad(answer.Header)}
	echoed := answer.Header.Get(cherrykeel.HeaderRequest)
	if echoed != attemptID && (echoed != "" || exchange.Service.RequireAnswer) {
		// The answer belongs to another request, or does not show to which one. Closing the connection unread keeps the
		// answer from reaching any caller.
		answer.Close()
		forward.logForeignAnswer(exchange, echoed)
		result.retryResult = retry.Result{Evidence: retry.Uncertain, Detail: "the upstream's answer does not belong to this request"}
		result.observed.abandoned = true
		return result
	}
	result.ownAnswer = true
	result.observed.rest = requestedRest(answer)
	if refusal := answer.Header.Get(cherrykeel.HeaderRefused); refusal != "" && echoed == attemptID {
		return resultOfRefusal(result, answer, refusal)
	}
	return readBody(ctx, result, answer)
}

func resultOfRefusal(result result, answer *conns.Answer, refusal string) result {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxBufferedAnswer))
	answer.Close()
	result.retryResult = retry.Result{Evidence: retry.Refused, Refusal: retry.Refusal(refusal), Detail: "the upstream refused the request: " + refusal}
	result.observed.draining = retry.Refusal(refusal) == retry.RefusedDraining
	result.observed.shed = retry.Refusal(refusal) == retry.RefusedShed
	return result
}

func readBody(ctx context.Context, result result, answer *conns.Answer) result {
	limit := int64(maxBufferedAnswer)
	if answer.Length > limit {
		result.answer = answer
		return result
	}
	body, err := io.ReadAll(io.LimitReader(answer, limit+1))
	if err != nil {
		answer.Close()
		result.retryResult = retry.Result{Evidence: retry.Uncertain, Detail: "the upstream's answer broke off"}
		result.observed.reached = false
		result.observed.abandoned = ctx.Err() != nil
		result.unanswered = ctx.Err() == nil
		result.connectionReset = errors.Is(err, conns.ErrReset)
		result.ownAnswer = false
		result.err = err
		return result
	}
	result.body = body
	if int64(len(body)) > limit {
		result.answer = answer
		return result
	}
	answer.Close()
	return result
}

func reportedLoad(header http.Header) float64 {
	load, err := strconv.ParseFloat(header.Get(cherrykeel.HeaderLoad), 64)
	if err != nil || !(load >= 0 && load <= 1) {
		return -1
	}
	return load
}

// requestedRest returns the time for which the upstream asked for no requests, or 0.
func requestedRest(answer *conns.Answer) time.Duration {
	if answer.Status != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second))
}

// observation is what an attempt showed about its upstream.
type observation struct {
	duration time.Duration
	// reached means that the upstream answered, or that the attempt failed for a cause on this host. Either way it is no
	// failure of the upstream.
	reached  bool
	draining bool
	shed     bool
	// reportedLoad is -1 if the answer has no valid report of the load.
	reportedLoad float64
	// rest is the time for which the upstream asked for no requests.
	rest time.Duration
	// callerGone means that the caller went away, so that the attempt shows nothing about the upstream's health.
	callerGone bool
	// abandoned means that the upstream may still work on the request.
	abandoned bool
}

func (pool *pool) recordObservation(upstream *upstream, observed observation, now cherrykeel.Instant) {
	if observed.reportedLoad >= 0 {
		upstream.reportedLoad = observed.reportedLoad
		upstream.reportedAt = now
	}
	switch {
	case observed.callerGone:
		upstream.health.RecordInconclusive()
	case observed.draining:
		upstream.health.RecordDraining(now)
	case observed.shed:
		upstream.health.RecordShed(now)
	case observed.reached:
		upstream.health.RecordSuccess(now)
	default:
		upstream.health.RecordFailure(now)
	}
	if observed.rest > 0 {
		upstream.health.RecordRest(observed.rest, now)
		pool.resizeQueues(now)
	}
}
