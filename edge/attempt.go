package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/retry"
)

// Sender carries one attempt to an upstream; conns.Pool is the one in use.
type Sender interface {
	// SendIfReady writes a request, if it is ready when there is a connection, and reads the head of its answer.
	SendIfReady(ctx context.Context, address string, request *http.Request, ready func() bool) (*conns.Answer, conns.Progress, error)
}

// maxBufferedAnswer is the largest answer that is read to its end before any of it is passed on,
// so that the caller of a broken answer is told what is known instead of being cut off.
const maxBufferedAnswer = 256 << 10

// result is what an attempt brought.
type result struct {
	retryResult retry.Result
	// answer is open when the answer is too large to be held.
	answer   *conns.Answer
	status   int
	header   http.Header
	body     []byte
	observed observation
	// upstreamName names the upstream.
	upstreamName string
	// unanswered says that the connection ended under the request, refused that none was to be had since nobody
	// listens at the upstream's address, own that the answer is to this request.
	unanswered        bool
	connectionRefused bool
	ownAnswer         bool
	// connectionReset says that the connection was reset, not closed, and abandoned that this host closed it before an answer.
	connectionReset bool
	abandoned       bool
	// onStreamed is told how the rest of an answer ended that is too large to be held.
	onStreamed func(err error)
}

// hopByHopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopByHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// outgoingRequest returns the request as the upstream gets it, but for the time that is left.
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
		// An upstream that ended the connection itself works on nothing; one that this host left may.
		result.observed.abandoned = progress == conns.AnswerBegun || progress != conns.NotSent && ctx.Err() != nil
		result.unanswered = progress.IsUnanswered() && ctx.Err() == nil
		result.abandoned = progress.IsUnanswered() && ctx.Err() != nil
		result.connectionRefused = errors.Is(err, conns.ErrRefused)
		result.connectionReset = errors.Is(err, conns.ErrReset)
	} else {
		result = forward.readAnswer(ctx, exchange, answer, attemptID)
	}
	result.observed.duration = forward.clock.Now().Sub(startedAt)
	result.observed.callerGone = exchange.Request.Context().Err() != nil
	return result
}

func resultOfError(progress conns.Progress, err error) result {
	retryResult := retry.Result{Evidence: retry.Uncertain, Detail: err.Error()}
	if progress == conns.NotSent {
		retryResult.Evidence = retry.NeverSent
	}
	// A host that has used up its own connections, or its time, has learned nothing about the upstream.
	localCause := errors.Is(err, conns.ErrConnLimit) || errors.Is(err, conns.ErrNotReady)
	return result{retryResult: retryResult, observed: observation{reached: localCause, reportedLoad: -1}}
}

// readAnswer judges the head of an answer and reads its body, unless that is too large to hold.
func (forward *forward) readAnswer(ctx context.Context, exchange *cherrykeel.Exchange, answer *conns.Answer, attemptID string) result {
	result := result{status: answer.Status, header: answer.Header}
	result.observed = observation{reached: true, reportedLoad: reportedLoad(answer.Header)}
	echoed := answer.Header.Get(cherrykeel.HeaderRequest)
	if echoed != attemptID && (echoed != "" || exchange.Service.RequireAnswer) {
		// The answer belongs to another request, or nothing shows that it does not;
		// closing the connection unread keeps it from answering anybody.
		answer.Close()
		forward.logForeignAnswer(exchange, echoed)
		result.retryResult = retry.Result{Evidence: retry.Uncertain, Detail: "the upstream's answer was not to this request"}
		result.observed.abandoned = true
		return result
	}
	result.ownAnswer = true
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

// observation is what an attempt showed of its upstream.
type observation struct {
	duration     time.Duration
	reached      bool
	draining     bool
	shed         bool
	reportedLoad float64
	// callerGone says that the caller went away, which shows nothing of the upstream.
	callerGone bool
	// abandoned says that the upstream may still work on the request.
	abandoned bool
}

func (pool *pool) recordObservation(upstream *upstream, observed observation, now cherrykeel.Instant) {
	if observed.reportedLoad >= 0 {
		upstream.reportedLoad = observed.reportedLoad
	}
	switch {
	case observed.callerGone:
		upstream.health.RecordInconclusive()
	case observed.draining:
		upstream.health.RecordDraining(now)
	case observed.shed:
		upstream.health.RecordShed()
	case observed.reached:
		upstream.health.RecordSuccess(now)
	default:
		upstream.health.RecordFailure(now)
	}
}
