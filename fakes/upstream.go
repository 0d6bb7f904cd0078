package fakes

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"cherrykeel"
)

// slowStartFactor is how many times its usual work a request takes on an upstream that has just started.
const slowStartFactor = 9

// UpstreamFaults are the faults of the upstream stand-in; counts say how many of the next requests they hit.
type UpstreamFaults struct {
	// Freeze stops everything, control included, until it is ended by the next order or has passed.
	Freeze time.Duration
	// Truncate breaks an answer off in the middle.
	Truncate int
	// Cross answers with the id and body of another request.
	Cross int
	// Reset closes the connection after the request ran.
	Reset int
	// Work is added to each request.
	Work time.Duration
	// SlowStart makes requests take up to a slot's tenfold work, less and less, until it has passed.
	SlowStart time.Duration
	// Shed is the share of requests that is refused.
	Shed float64
	// Load is reported instead of the true load when it is not negative.
	Load float64
	// IgnoreFences acts on every request, whoever owns the key.
	IgnoreFences bool
	Draining     bool
}

// Run is one execution of a request, as the upstream saw it.
type Run struct {
	Request   string
	RepeatKey string
	Key       string
}

// UpstreamOptions describe an upstream stand-in.
type UpstreamOptions struct {
	Name        string
	Slots       int
	QueueLength int
	// Work is the time that a request takes in its slot.
	Work time.Duration
	// Registers is shared by the upstreams of a service that keep its state; nil gives an own one.
	Registers *Registers
	// EnforceFences refuses requests for keys that are not owned.
	EnforceFences bool
	// EndsOn, if set, is a path under which the process ends as soon as it begins to run a request; End ends it.
	EndsOn string
	End    func()
}

// Upstream is the stand-in of a server that holds keys.
type Upstream struct {
	options     UpstreamOptions
	incarnation string
	clock       cherrykeel.Clock
	slots       chan struct{}
	mux         *http.ServeMux
	mutex       sync.Mutex
	services    map[string]*Ownership
	faults      UpstreamFaults
	frozenUntil time.Time
	faultsSetAt time.Time
	held        int
	// maxHeld is the most requests held at a time.
	maxHeld  int
	runs     map[string]int
	repeats  map[string]int
	lastBody []byte
	lastID   string
}

// NewUpstream returns an upstream that has just started and owns nothing.
func NewUpstream(options UpstreamOptions) *Upstream {
	if options.Registers == nil {
		options.Registers = NewRegisters()
	}
	upstream := &Upstream{
		options:     options,
		incarnation: uuid.NewString(),
		clock:       cherrykeel.BootTimeClock(),
		slots:       make(chan struct{}, options.Slots),
		mux:         http.NewServeMux(),
		services:    map[string]*Ownership{},
		faults:      UpstreamFaults{Load: -1},
		runs:        map[string]int{},
		repeats:     map[string]int{},
	}
	upstream.mux.HandleFunc("PUT /.well-known/ownership", upstream.grant)
	upstream.mux.HandleFunc("GET /.well-known/ownership", upstream.holding)
	upstream.mux.HandleFunc("POST /standin/faults", upstream.handleFaults)
	upstream.mux.HandleFunc("GET /standin/runs", upstream.reportRuns)
	upstream.mux.HandleFunc("/", upstream.serve)
	return upstream
}

// ServeHTTP implements http.Handler.
func (upstream *Upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upstream.mux.ServeHTTP(writer, request)
}

func (upstream *Upstream) now() time.Duration {
	return time.Duration(upstream.clock.Now())
}

func (upstream *Upstream) handleFaults(writer http.ResponseWriter, request *http.Request) {
	faults := UpstreamFaults{Load: -1}
	if readJSON(writer, request, &faults) {
		upstream.SetFaults(faults)
		writeJSON(writer, faults)
	}
}

// SetFaults replaces the faults; a freeze starts now.
func (upstream *Upstream) SetFaults(faults UpstreamFaults) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.faults = faults
	upstream.faultsSetAt = time.Now()
	upstream.frozenUntil = upstream.faultsSetAt.Add(faults.Freeze)
}

// RunReport says what truly ran.
type RunReport struct {
	// Requests counts runs by request id, Repeats by Idempotency-Key.
	Requests map[string]int
	Repeats  map[string]int
}

func (upstream *Upstream) reportRuns(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, upstream.Runs())
}

// Runs returns what truly ran.
func (upstream *Upstream) Runs() RunReport {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	report := RunReport{Requests: map[string]int{}, Repeats: map[string]int{}}
	for id, count := range upstream.runs {
		report.Requests[id] = count
	}
	for key, count := range upstream.repeats {
		report.Repeats[key] = count
	}
	return report
}

// MostAtOnce returns the most requests that were held at a time since the last call.
func (upstream *Upstream) MostAtOnce() int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	most := upstream.maxHeld
	upstream.maxHeld = upstream.held
	return most
}

// waitWhileFrozen returns when the upstream is not frozen any more.
func (upstream *Upstream) waitWhileFrozen() {
	for {
		upstream.mutex.Lock()
		left := time.Until(upstream.frozenUntil)
		upstream.mutex.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(min(left, 10*time.Millisecond))
	}
}

func (upstream *Upstream) serve(writer http.ResponseWriter, request *http.Request) {
	upstream.waitWhileFrozen()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		abort()
	}
	writer.Header().Set(cherrykeel.HeaderRequest, request.Header.Get(cherrykeel.HeaderRequest))
	writer.Header().Set(cherrykeel.HeaderLoad, strconv.FormatFloat(upstream.load(), 'f', 3, 64))
	call := newCall(request, body)
	if reason := upstream.admit(&call); reason != "" {
		upstream.refuse(writer, reason)
		return
	}
	answer, reason := upstream.run(request.Context(), call)
	if reason != "" {
		upstream.refuse(writer, reason)
		return
	}
	upstream.reply(writer, call, answer)
}

// run works on a call and gives its place free before anybody is told.
func (upstream *Upstream) run(ctx context.Context, call call) ([]byte, string) {
	defer upstream.finish(call)
	if !upstream.process(ctx) {
		abort()
	}
	if upstream.options.EndsOn != "" && call.path == upstream.options.EndsOn {
		upstream.options.End()
		abort()
	}
	return upstream.execute(call)
}

func (upstream *Upstream) load() float64 {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if upstream.faults.Load >= 0 {
		return upstream.faults.Load
	}
	return float64(len(upstream.slots)+upstream.held) / float64(cap(upstream.slots))
}

func (upstream *Upstream) refuse(writer http.ResponseWriter, reason string) {
	status := http.StatusServiceUnavailable
	if reason == "owner" {
		status = http.StatusMisdirectedRequest
	}
	writer.Header().Set(cherrykeel.HeaderRefused, reason)
	http.Error(writer, "refused: "+reason, status)
}

// call is one request on its way through the upstream.
type call struct {
	id        string
	repeatKey string
	service   string
	key       string
	partition int
	method    string
	path      string
	body      []byte
	work      Work
}

func newCall(request *http.Request, body []byte) call {
	partition, err := strconv.Atoi(request.Header.Get(cherrykeel.HeaderPartition))
	if err != nil {
		partition = -1
	}
	return call{
		id:        request.Header.Get(cherrykeel.HeaderRequest),
		repeatKey: request.Header.Get(cherrykeel.HeaderIdempotencyKey),
		service:   request.Header.Get(cherrykeel.HeaderService),
		key:       request.Header.Get(cherrykeel.HeaderKey),
		partition: partition,
		method:    request.Method,
		path:      request.URL.RequestURI(),
		body:      body,
	}
}

func (upstream *Upstream) admit(call *call) string {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	switch {
	case upstream.faults.Draining:
		return "draining"
	case !upstream.mayAct(*call):
		return "owner"
	case upstream.held >= upstream.options.QueueLength+cap(upstream.slots):
		return "shed"
	case upstream.faults.Shed > 0 && rand.Float64() < upstream.faults.Shed:
		return "shed"
	}
	upstream.held++
	upstream.maxHeld = max(upstream.maxHeld, upstream.held)
	if call.partition >= 0 {
		call.work = upstream.ownershipOf(call.service).Begin(call.partition, call.key)
	}
	return ""
}

func (upstream *Upstream) finish(call call) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.held--
	if call.partition >= 0 {
		upstream.ownershipOf(call.service).End(call.work)
	}
}

func (upstream *Upstream) mayAct(call call) bool {
	if call.partition < 0 || !upstream.options.EnforceFences || upstream.faults.IgnoreFences {
		return true
	}
	return upstream.ownershipOf(call.service).Owns(upstream.now(), call.partition, call.key)
}

// process holds a slot for the time of the work; false means that the caller went away first.
func (upstream *Upstream) process(ctx context.Context) bool {
	select {
	case upstream.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-upstream.slots }()
	upstream.mutex.Lock()
	duration := upstream.options.Work + upstream.faults.Work + upstream.slowStartDelay()
	upstream.mutex.Unlock()
	if duration > 0 {
		time.Sleep(duration)
	}
	upstream.waitWhileFrozen()
	return ctx.Err() == nil
}

// slowStartDelay is what a request takes more because the upstream has just started.
func (upstream *Upstream) slowStartDelay() time.Duration {
	left := upstream.faults.SlowStart - time.Since(upstream.faultsSetAt)
	if left <= 0 {
		return 0
	}
	share := float64(left) / float64(upstream.faults.SlowStart)
	return time.Duration(share * slowStartFactor * float64(upstream.options.Work))
}

// execute runs the request; an owner whose lease has lapsed meanwhile refuses, so nothing runs after the lease.
func (upstream *Upstream) execute(call call) ([]byte, string) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	held := upstream.ownershipOf(call.service)
	lapsed := held.Lapsed(call.work, upstream.now())
	if call.partition >= 0 && upstream.options.EnforceFences && !upstream.faults.IgnoreFences && lapsed {
		return nil, "owner"
	}
	upstream.runs[call.id]++
	if call.repeatKey != "" {
		upstream.repeats[call.repeatKey]++
	}
	value := upstream.options.Registers.access(upstream, held.Term(), call)
	answer := strings.Join([]string{upstream.options.Name, call.id, call.key, value}, " ") + "\n"
	return []byte(answer), ""
}

func (upstream *Upstream) reply(writer http.ResponseWriter, call call, answer []byte) {
	upstream.mutex.Lock()
	faults := upstream.faults
	upstream.faults.Truncate = max(0, faults.Truncate-1)
	upstream.faults.Cross = max(0, faults.Cross-1)
	upstream.faults.Reset = max(0, faults.Reset-1)
	lastID, lastBody := upstream.lastID, upstream.lastBody
	upstream.lastID, upstream.lastBody = call.id, answer
	upstream.mutex.Unlock()
	if faults.Reset > 0 {
		abort()
	}
	if faults.Cross > 0 && lastID != "" {
		writer.Header().Set(cherrykeel.HeaderRequest, lastID)
		answer = lastBody
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if faults.Truncate > 0 {
		_, _ = writer.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(writer).Flush()
		abort()
	}
	_, _ = writer.Write(answer)
}
