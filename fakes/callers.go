package fakes

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// requestTimeout bounds one request, so that a spec ends even if its request is never answered.
const requestTimeout = time.Minute

// Callers send requests one after another, each caller until its first failure.
type Callers struct {
	answered atomic.Int64
	running  sync.WaitGroup
	// mutex guards failures while callers run.
	mutex    sync.Mutex
	failures []error
}

// StartCallers starts count callers that call request in a loop.
func StartCallers(count int, request func() error) *Callers {
	callers := &Callers{}
	for range count {
		callers.running.Go(func() { callers.run(request) })
	}
	return callers
}

// run calls request until it fails, then records the failure.
func (callers *Callers) run(request func() error) {
	err := request()
	for err == nil {
		callers.answered.Add(1)
		err = request()
	}
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.failures = append(callers.failures, err)
}

// Answered returns the number of successful requests of all callers so far.
func (callers *Callers) Answered() int64 {
	return callers.answered.Load()
}

// Failures waits until every caller has failed and returns one error per caller.
func (callers *Callers) Failures() []error {
	callers.running.Wait()
	return callers.failures
}

// AskAnew returns a function for StartCallers that sends a GET request to the URL on a new connection. It succeeds once
// the whole body has been read, whatever the status.
func AskAnew(url string) func() error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	return func() error {
		response, err := client.Get(url)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
}
