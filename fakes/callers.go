package fakes

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// requestTimeout bounds one request, so that a spec ends whatever becomes of it.
const requestTimeout = time.Minute

// Callers ask all the time, each until it fails once.
type Callers struct {
	answered atomic.Int64
	running  sync.WaitGroup
	mutex    sync.Mutex
	failures []error
}

// StartCallers lets so many callers ask.
func StartCallers(count int, request func() error) *Callers {
	callers := &Callers{}
	for range count {
		callers.running.Go(func() { callers.run(request) })
	}
	return callers
}

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

// Answered returns how often they were answered so far.
func (callers *Callers) Answered() int64 {
	return callers.answered.Load()
}

// Failures returns how each of them failed, once all have.
func (callers *Callers) Failures() []error {
	callers.running.Wait()
	return callers.failures
}

// AskAnew returns a caller's request to a URL, each on a connection of its own, that is answered when it was read whole.
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
