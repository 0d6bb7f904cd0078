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

// slowStartFactor is the additional processing time at the beginning of a slow start, in units of UpstreamOptions.Work.
const slowStartFactor = 9

// UpstreamFaults are the faults that the stand-in of an upstream can inject. A count applies to that many next answers.
type UpstreamFaults struct {
	// Freeze suspends requests and grants for this time, or until the faults are replaced. Requests to replace the
	// faults or to read the runs are still answered.
	Freeze time.Duration
	// Truncate closes the connection in the middle of the answer.
	Truncate int
	// Cross answers with the request id and body of the previous answer.
	Cross int
	// Reset closes the connection without an answer after the request has run.
	Reset int
	// Work is added to the processing time of each request.
	Work time.Duration
	// SlowStart is how long the processing time falls linearly, from ten times UpstreamOptions.Work to the usual one.
	SlowStart time.Duration
	// Shed is the share of requests, 0 to 1, that are shed.
	Shed float64
	// Load is reported instead of the true load unless it is negative.
	Load float64
	// IgnoreFences runs requests also for keys that the upstream does not own.
	IgnoreFences bool
	// Draining refuses all requests with the reason "draining".
	Draining bool
}

// Run is one execution of a request by an upstream.
type Run struct {
	Request   string
	RepeatKey string
	Key       string
}

// UpstreamOptions configure the stand-in of an upstream.
type UpstreamOptions struct {
	// Name begins each answer.
	Name string
	// Slots is the number of requests that run at the same time.
	Slots int
	// QueueLength is the number of requests that may wait for a slot; more are shed.
	QueueLength int
	// Work is the processing time of a request.
	Work time.Duration
	// Registers is the storage shared with other upstreams; nil creates one for this upstream alone.
	Registers *Registers
	// EnforceFences refuses requests for keys that the upstream does not own.
	EnforceFences bool
	// EndsOn, if set, is a path and query. A request for it calls End after its processing time, and does not run.
	EndsOn string
	// End ends the process; it is needed if EndsOn is set.
	End func()
}

// Upstream is the stand-in of an upstream that owns keys. It counts runs for comparison with what callers received.
type Upstream struct {
	options     UpstreamOptions
	incarnation string
	clock       cherrykeel.Clock
	// slots has one element per running request; its capacity is the number of slots.
	slots chan struct{}
	mux   *http.ServeMux
	// mutex guards the fields below. Lock order: this mutex, then that of Registers.
	mutex       sync.Mutex
	services    map[string]*Ownership
	faults      UpstreamFaults
	frozenUntil time.Time
	faultsSetAt time.Time
	// held is the number of admitted requests that have not ended, running or waiting for a slot.
	held int
	// maxHeld is the largest value of held since the last call of MostAtOnce.
	maxHeld int
	// runs counts executions by request id, repeats by Idempotency-Key.
	runs    map[string]int
	repeats map[string]int
	// lastBody and lastID are those of the previous answer, for the fault Cross.
	lastBody []byte
	lastID   string
}

// NewUpstream returns an upstream with a new incarnation that owns no keys and has no faults.
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

// ServeHTTP serves requests, grants, faults and reports of runs, and implements http.Handler.
func (upstream *Upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upstream.mux.ServeHTTP(writer, request)
}

// now returns the upstream's own time, since the boot of its machine.
func (upstream *Upstream) now() time.Duration {
	return time.Duration(upstream.clock.Now())
}

// handleFaults handles a request that replaces the faults. Without a load in it, the true load is reported.
func (upstream *Upstream) handleFaults(writer http.ResponseWriter, request *http.Request) {
	faults := UpstreamFaults{Load: -1}
	if readJSON(writer, request, &faults) {
		upstream.SetFaults(faults)
		writeJSON(writer, faults)
	}
}

// SetFaults replaces all faults; Freeze and SlowStart count from this call.
func (upstream *Upstream) SetFaults(faults UpstreamFaults) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.faults = faults
	upstream.faultsSetAt = time.Now()
	upstream.frozenUntil = upstream.faultsSetAt.Add(faults.Freeze)
}

// RunReport has the number of executions of each request.
type RunReport struct {
	// Requests counts executions by request id.
	Requests map[string]int
	// Repeats counts executions by Idempotency-Key.
	Repeats map[string]int
}

// reportRuns answers with the report of Runs.
func (upstream *Upstream) reportRuns(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, upstream.Runs())
}

// Runs returns how often each request has run.
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

// MostAtOnce returns the largest number of requests held at the same time, running or waiting, since the last call.
func (upstream *Upstream) MostAtOnce() int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	most := upstream.maxHeld
	upstream.maxHeld = upstream.held
	return most
}

// waitWhileFrozen blocks until the fault Freeze has ended. It checks every 10 ms, as a change of faults can end it.
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

// serve handles a caller's request: it admits, runs and answers it, or refuses it with a reason.
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

// run processes a call and returns its answer, or the reason for a refusal. The call no longer holds a slot or counts as
// held when the answer is sent.
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

// load returns the load to report: occupied slots plus held requests, over all slots. A running request counts twice.
func (upstream *Upstream) load() float64 {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if upstream.faults.Load >= 0 {
		return upstream.faults.Load
	}
	return float64(len(upstream.slots)+upstream.held) / float64(cap(upstream.slots))
}

// refuse answers that the request was not run, with 421 if the upstream does not own the key and 503 otherwise.
func (upstream *Upstream) refuse(writer http.ResponseWriter, reason string) {
	status := http.StatusServiceUnavailable
	if reason == "owner" {
		status = http.StatusMisdirectedRequest
	}
	writer.Header().Set(cherrykeel.HeaderRefused, reason)
	http.Error(writer, "refused: "+reason, status)
}

// call is one caller's request.
type call struct {
	id        string
	repeatKey string
	service   string
	key       string
	// partition is -1 if the request has no valid partition header.
	partition int
	method    string
	path      string
	body      []byte
	// work is set by admit if there is a partition.
	work Work
}

// newCall returns a request's call, with the id, service, key and partition that the host's headers give.
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

// admit counts the call as held. If it cannot be held, admit returns the reason for the refusal instead.
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

// finish stops counting a call as held.
func (upstream *Upstream) finish(call call) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.held--
	if call.partition >= 0 {
		upstream.ownershipOf(call.service).End(call.work)
	}
}

// mayAct reports whether the fences allow the call; the caller holds the mutex.
func (upstream *Upstream) mayAct(call call) bool {
	if call.partition < 0 || !upstream.options.EnforceFences || upstream.faults.IgnoreFences {
		return true
	}
	return upstream.ownershipOf(call.service).Owns(upstream.now(), call.partition, call.key)
}

// process acquires a slot and holds it for the processing time. It returns false if the caller has disconnected.
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

// slowStartDelay returns the additional processing time by the fault SlowStart; the caller holds the mutex.
func (upstream *Upstream) slowStartDelay() time.Duration {
	left := upstream.faults.SlowStart - time.Since(upstream.faultsSetAt)
	if left <= 0 {
		return 0
	}
	share := float64(left) / float64(upstream.faults.SlowStart)
	return time.Duration(share * slowStartFactor * float64(upstream.options.Work))
}

// execute runs the request and returns its answer. If the lease has lapsed since the request was admitted, it refuses
// instead, as another upstream may own the key by now.
func (upstream *Upstream) execute(call call) ([]byte, string) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	ownership := upstream.ownershipOf(call.service)
	lapsed := ownership.Lapsed(call.work, upstream.now())
	if call.partition >= 0 && upstream.options.EnforceFences && !upstream.faults.IgnoreFences && lapsed {
		return nil, "owner"
	}
	upstream.runs[call.id]++
	if call.repeatKey != "" {
		upstream.repeats[call.repeatKey]++
	}
	value := upstream.options.Registers.access(upstream, ownership.Term(), call)
	answer := strings.Join([]string{upstream.options.Name, call.id, call.key, value}, " ") + "\n"
	return []byte(answer), ""
}

// reply sends the answer, altered by the faults Reset, Cross and Truncate.
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
