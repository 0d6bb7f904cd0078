package cherrykeel

import (
	"net/http"
	"sort"
)

// Exchange holds one request of a caller while it passes through the stages.
type Exchange struct {
	// ID names the request in logs, in the request to the upstream, and in answers that the router makes itself.
	ID      string
	Request *http.Request
	Writer  http.ResponseWriter
	Body    []byte
	Service *Service
	Key     string
	// Partition is -1 for services without keys.
	Partition int
	// Priority is set by the service or by the caller; 1 is served first, 9 last.
	Priority int
	Arrived  Instant
	Deadline Instant
	// Repeatable is true if running the request twice is harmless.
	Repeatable bool
	// IdempotencyKey is the caller's Idempotency-Key header, or empty.
	IdempotencyKey string
	// Answer is the upstream's answer that was passed on to the caller, or nil.
	Answer *Answer
}

// Answer is an upstream's answer as it was passed on.
type Answer struct {
	Status      int
	ContentType string
	// Body is set only if Whole is true: the answer was read completely before it was passed on.
	Body  []byte
	Whole bool
}

// Next runs the stages that follow the calling one.
type Next func(exchange *Exchange) *Failure

// Stage is one processing step for requests; a failure that it returns becomes the caller's answer.
type Stage interface {
	// Serve answers the exchange, refuses it, or calls next.
	Serve(exchange *Exchange, next Next) *Failure
}

// Responder turns a failure into the caller's answer.
type Responder interface {
	// Respond writes the caller's answer for a failure.
	Respond(exchange *Exchange, failure *Failure)
}

// Router passes each request through its stages.
type Router interface {
	http.Handler
}

// Option configures a Router that New creates.
type Option func(*router)

type prioritizedStage struct {
	stage    Stage
	priority int
}

type router struct {
	stages    []prioritizedStage
	responder Responder
	clock     Clock
	serve     Next
}

// WithStage adds a stage; lower priorities run first.
func WithStage(stage Stage, priority int) Option {
	return func(router *router) {
		router.stages = append(router.stages, prioritizedStage{stage: stage, priority: priority})
	}
}

// WithResponder replaces the default Responder, which writes the status and the outcome header without a body.
func WithResponder(responder Responder) Option {
	return func(router *router) {
		router.responder = responder
	}
}

// WithClock replaces the system clock.
func WithClock(clock Clock) Option {
	return func(router *router) {
		router.clock = clock
	}
}

// New returns a Router; without stages it answers every request with 404.
func New(options ...Option) Router {
	router := &router{responder: plainResponder{}, clock: SystemClock()}
	for _, option := range options {
		option(router)
	}
	sort.SliceStable(router.stages, func(i, j int) bool {
		return router.stages[i].priority < router.stages[j].priority
	})
	router.serve = router.chain()
	return router
}

func (router *router) chain() Next {
	next := refuseUnmatched
	for i := len(router.stages) - 1; i >= 0; i-- {
		stage := router.stages[i].stage
		after := next
		next = func(exchange *Exchange) *Failure {
			return stage.Serve(exchange, after)
		}
	}
	return next
}

func refuseUnmatched(exchange *Exchange) *Failure {
	return Refuse(http.StatusNotFound, "no-stage", "no stage answers %s", exchange.Request.URL.Path)
}

// ServeHTTP implements http.Handler.
func (router *router) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	exchange := &Exchange{Request: request, Writer: writer, Partition: -1, Arrived: router.clock.Now()}
	failure := router.serve(exchange)
	if failure == nil {
		return
	}
	router.responder.Respond(exchange, failure)
}

type plainResponder struct{}

func (plainResponder) Respond(exchange *Exchange, failure *Failure) {
	exchange.Writer.Header().Set(HeaderOutcome, string(failure.Outcome))
	exchange.Writer.WriteHeader(failure.Status)
}
