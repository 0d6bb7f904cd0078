package edge

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// Problem is the body of the answers that the router makes itself: an RFC 9457 problem with additional members.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome is "not-run" or "unknown": whether the request is known not to have run.
	Outcome cherrykeel.Outcome
	Code    string
	Request string
}

const problemType = "about:blank"

type problemResponder struct {
	logger *zap.Logger
}

// NewResponder returns a Responder that logs failures and writes them to the caller as problems.
func NewResponder(logger *zap.Logger) cherrykeel.Responder {
	return &problemResponder{logger: logger}
}

// Respond implements cherrykeel.Responder.
func (responder *problemResponder) Respond(exchange *cherrykeel.Exchange, failure *cherrykeel.Failure) {
	events.Log(responder.logger, events.RequestFailed,
		zap.String("Request", exchange.ID),
		zap.String("Code", failure.Code),
		zap.String("Outcome", string(failure.Outcome)),
		zap.String("Detail", failure.Detail))
	header := exchange.Writer.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(cherrykeel.HeaderOutcome, string(failure.Outcome))
	header.Set(cherrykeel.HeaderRequest, exchange.ID)
	if failure.RetryAfter > 0 {
		seconds := int(math.Ceil(failure.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	exchange.Writer.WriteHeader(failure.Status)
	_ = json.NewEncoder(exchange.Writer).Encode(Problem{
		Type:    problemType,
		Title:   http.StatusText(failure.Status),
		Status:  failure.Status,
		Detail:  failure.Detail,
		Outcome: failure.Outcome,
		Code:    failure.Code,
		Request: exchange.ID,
	})
}
