package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/events"
	"cherrykeel/flow"
	"cherrykeel/heads"
	"cherrykeel/origin"
)

// outcome is what an attempt showed of whether the request ran.
type outcome int

const (
	// answered requests have an answer to pass on.
	answered outcome = iota
	// notSent requests never left this host.
	notSent
	// notRun requests were refused by the upstream, which did not act on them.
	notRun
	// outcomeUnknown requests may have run.
	outcomeUnknown
)

// result is the result of one attempt.
type result struct {
	outcome     outcome
	misdirected bool
	status      int
	header      http.Header
	body        []byte
	load        cherrykeel.UpstreamLoad
	detail      string
	// unanswered means that the connection broke after some of the request was sent and before the whole answer came.
	// connectionRefused means that nothing listens at the address. fromTarget means that a whole answer came that is
	// not another upstream's.
	unanswered        bool
	connectionRefused bool
	fromTarget        bool
	// reset means that the connection was reset, not closed, and abandoned that this host closed it before an answer
	// came.
	reset     bool
	abandoned bool
	// connection is the serial number of the connection on which an answer came, or 0, and sends how many requests it had
	// carried by then. names and instance are what the answer names.
	connection int64
	sends      int
	names      origin.Names
	instance   string
	// via is the host through which the answer came, or empty.
	via string
	// endless means that the upstream sent more bytes than an answer may have, malformed that it sent some that are none.
	endless   bool
	malformed bool
	// withheld means that the request was not sent since the upstream's rest had begun meanwhile.
	withheld bool
}

const (
	// maxIdleUnrepeatable is how long ago a connection may have been in use to carry a request that is not repeatable:
	// an upstream may drop an idle connection without notice, and what is sent on it then is reset. Repeatable requests
	// may use connections up to maxIdleRepeatable.
	maxIdleUnrepeatable = 6 * time.Second
	maxIdleRepeatable   = 8 * time.Second
	// newConnResetWait is how long a new connection must stay open before a request that is not repeatable is sent on
	// it. An upstream needs 1 ms to accept a connection, and resets the connection at that point if it has too many.
	newConnResetWait = 3 * time.Millisecond
	// An answer is late after lateAnswerFactor times the time that it is expected to take, and lateAnswerMargin.
	lateAnswerFactor = 2
	lateAnswerMargin = 100 * time.Millisecond
	// maxSkippedAnswers is how many answers of other requests are skipped before the request's own, and maxSkippedBytes how
	// long the body of each may be.
	maxSkippedAnswers = 2
	maxSkippedBytes   = 1 << 20
	// maxLoggedID bounds what the log shows of an ID that another program has written.
	maxLoggedID = 64
)

// errWrongRequest is the failure of an answer that does not name the request that was sent, or names another upstream.
var errWrongRequest = errors.New("answer of another request, of none or of another upstream")

// hopHeaders are the headers that belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// dropHopHeaders removes the headers that belong to one connection, also those that its Connection header names.
func dropHopHeaders(header http.Header) {
	heads.DropConnectionFields(header)
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// upstreamRequest returns the request as it is sent to an upstream: method, target and body are the caller's.
func (exchange *exchange) upstreamRequest(upstream cherrykeel.Upstream, remaining time.Duration) *http.Request {
	incoming := exchange.request
	header := incoming.Header.Clone()
	dropHopHeaders(header)
	if _, given := header["User-Agent"]; !given {
		header["User-Agent"] = []string{""}
	}
	exchange.relay.dialect.MarkRequest(header, upstream, remaining)
	path, query, hasQuery := strings.Cut(incoming.RequestURI, "?")
	request := &http.Request{
		Method: incoming.Method,
		Host:   incoming.Host,
		URL:    &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""},
		Header: header,
	}
	if len(exchange.body) > 0 || mayHaveBody(incoming.Method) {
		request.Body = io.NopCloser(bytes.NewReader(exchange.body))
		request.ContentLength = int64(len(exchange.body))
		if len(exchange.body) == 0 {
			request.Body = http.NoBody
		}
	}
	return request
}

func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// attempt sends the request to one upstream and reads its whole answer.
func (exchange *exchange) attempt(ctx context.Context, slot *flow.Slot) result {
	remaining := exchange.deadline.Sub(exchange.relay.clock.Now())
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	options := conns.SendOptions{MaxIdle: maxIdleRepeatable, Repeatable: true}
	if !exchange.route.Repeatable {
		options = conns.SendOptions{MaxIdle: maxIdleUnrepeatable, ResetWait: newConnResetWait}
	}
	options.ID = exchange.headers.ID
	options.AnswerWithin = lateAnswerMargin + lateAnswerFactor*exchange.inputs.TimeToAnswer
	options.Ready = func() bool { return exchange.isReady(slot) }
	answer, progress, err := exchange.relay.pool.SendWithOptions(ctx, slot.Upstream.Address, exchange.upstreamRequest(slot.Upstream, remaining), options)
	if err != nil {
		result := failedSend(progress, err)
		result.recordReadFailure(err)
		result.unanswered = progress.IsUnanswered() && ctx.Err() == nil && !result.endless && !result.malformed
		result.abandoned = progress.IsUnanswered() && (ctx.Err() != nil || result.malformed)
		return result
	}
	defer answer.Close()
	return exchange.receive(ctx, slot, answer, options.AnswerWithin)
}

// receive reads a whole answer and concludes from it what it shows.
func (exchange *exchange) receive(ctx context.Context, slot *flow.Slot, answer *conns.Answer, within time.Duration) result {
	call := origin.Call{Kind: origin.Request, ID: exchange.headers.ID, Upstream: slot.Upstream.ID}
	reply, err := exchange.readOwnReply(answer, slot.Upstream, call, within)
	result := result{connection: answer.Connection(), sends: answer.Sends(), via: answer.Via(), names: origin.NamesOf(call, reply), instance: reply.Instance}
	if err != nil {
		result.recordReadFailure(err)
		result.outcome, result.detail = outcomeUnknown, err.Error()
		result.abandoned = !result.endless
		return result
	}
	exchange.recordStatements(slot, call, reply)
	body, err := exchange.readAnswer(answer)
	result.status, result.header, result.body = answer.Status, answer.Header, body
	result.recordReadFailure(err)
	if result.malformed {
		result.outcome, result.detail = outcomeUnknown, err.Error()
		result.abandoned = true
		return result
	}
	result.unanswered = err != nil && ctx.Err() == nil && !result.endless
	result.reset = errors.Is(err, conns.ErrReset)
	result.conclude(call, reply, err)
	if origin.Shows(origin.Replaced, call, reply) {
		exchange.relay.OnUpstreamReplaced(slot.Upstream)
	}
	if result.outcome == outcomeUnknown {
		answer.DisableReuse()
	}
	return result
}

// readOwnReply reads the headers of the request's own answer. An upstream may send a second copy of another answer, or bytes
// that answer nothing, where this one is due; the ID tells, and the request's own answer comes behind them.
func (exchange *exchange) readOwnReply(answer *conns.Answer, upstream cherrykeel.Upstream, call origin.Call, within time.Duration) (cherrykeel.ReplyHeaders, error) {
	reply := exchange.relay.dialect.ReadReply(answer.Status, answer.Header)
	for range maxSkippedAnswers {
		if !origin.IsForeign(call, reply) {
			break
		}
		if origin.Shows(origin.Doubtful, call, reply) {
			exchange.relay.OnUpstreamDoubted(upstream)
		}
		events.Log(exchange.relay.Logger, events.AnswerSkipped, append(exchange.logFields(), zap.Int64("Conn", answer.Connection()), zap.Int("Status", answer.Status), zap.String("Names", loggedID(reply.ID)), zap.String("Instance", loggedID(reply.Instance)))...)
		err := answer.Skip(maxSkippedBytes, within)
		if err != nil {
			return reply, errors.WithMessage(err, "behind an answer of another request")
		}
		reply = exchange.relay.dialect.ReadReply(answer.Status, answer.Header)
	}
	if reply.Malformed != "" {
		return reply, answer.MalformedError(reply.Malformed)
	}
	return reply, nil
}

// loggedID returns what the log shows of an ID that another program has written.
func loggedID(id string) string {
	return id[:min(len(id), maxLoggedID)]
}

// recordReadFailure records what the failure to read an answer shows of the bytes that came.
func (result *result) recordReadFailure(err error) {
	result.endless = isEndless(err)
	var malformed *conns.MalformedError
	result.malformed = errors.As(err, &malformed)
	if result.malformed {
		result.connection = malformed.Connection
	}
}

// conclude decides what an answer shows of the attempt; err is the failure to read its body.
func (result *result) conclude(call origin.Call, reply cherrykeel.ReplyHeaders, err error) {
	result.fromTarget = err == nil && origin.Shows(origin.Alive, call, reply)
	result.misdirected = origin.Shows(origin.Misdirected, call, reply)
	if origin.Shows(origin.Load, call, reply) {
		result.load = reply.Load
	}
	switch {
	case origin.Shows(origin.NotRun, call, reply):
		result.outcome = notRun
		result.detail = "the upstream did not run the request: " + http.StatusText(result.status)
	case !origin.Shows(origin.Answered, call, reply):
		result.outcome = outcomeUnknown
		result.detail = errWrongRequest.Error()
	case err != nil:
		result.outcome = outcomeUnknown
		result.detail = err.Error()
	default:
		result.classify(reply)
	}
}

// classify decides whether a whole answer may be passed on.
func (result *result) classify(reply cherrykeel.ReplyHeaders) {
	encoded := result.header.Get("Content-Encoding") != ""
	success := result.status < http.StatusBadRequest
	switch {
	case success && (!reply.Signed || reply.ID == "" || encoded):
		result.outcome = outcomeUnknown
		result.detail = "success without the upstream's signature"
	case impliesNotRun(result.status):
		// The status means that the request did not run, but the upstream did not confirm that. If the answer were
		// passed on, the caller would send a request again that may have run.
		result.outcome = outcomeUnknown
		result.detail = "refusal that does not state that the request did not run"
	default:
		result.outcome = answered
	}
}

// impliesNotRun reports whether callers take the status to mean that the request never runs.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// failedSend returns the result of an attempt that got no answer.
func failedSend(progress conns.Progress, err error) result {
	if progress == conns.NotSent {
		return result{
			outcome: notSent, detail: err.Error(),
			connectionRefused: errors.Is(err, conns.ErrRefused), withheld: errors.Is(err, conns.ErrNotReady),
		}
	}
	return result{outcome: outcomeUnknown, detail: err.Error(), reset: errors.Is(err, conns.ErrReset)}
}

// slotResult returns the result that the scheduler records for the slot.
func (result *result) slotResult(callerGone bool) flow.Result {
	switch {
	case result.outcome == answered:
		return flow.Answered
	case callerGone || result.withheld:
		return flow.Abandoned
	case result.outcome == notSent:
		return flow.Unreachable
	case result.outcome == notRun:
		return flow.Refused
	default:
		return flow.Failed
	}
}
