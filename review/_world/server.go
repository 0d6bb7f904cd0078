package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	serverSlots = 3
	serverQueue = 24
	// releasePoll is how often a release checks whether the work on its keys has ended.
	releasePoll = 2 * time.Millisecond
)

// hold is a span of keys that a server holds until a time.
type hold struct {
	first, last int
	fence       int64
	until       time.Time
}

// backend is a stand-in for a server of the platform.
type backend struct {
	world   *world
	id      string
	service string
	zone    string
	address string
	keyed   bool
	work    time.Duration

	http  *http.Server
	slots chan struct{}

	mutex   sync.Mutex
	state   string
	seqNo   int64
	holds   []hold
	fences  map[int]int64
	working map[int]int
	waiting int
	ended   bool
	// lostBeat, if not nil, gets the next periodic heartbeat in place of the store.
	lostBeat chan serverEntry
}

type serverInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type serverStatus struct {
	State      string `json:"state"`
	SeqNo      int64  `json:"seqNo"`
	WarmupLeft string `json:"warmupLeft"`
}

// serverEntry is what a server writes into the store about itself.
type serverEntry struct {
	Address string       `json:"address"`
	Info    serverInfo   `json:"info"`
	Status  serverStatus `json:"status"`
}

func (backend *backend) start() error {
	listener, err := net.Listen("tcp", backend.address)
	if err != nil {
		return err
	}
	backend.state = "ready"
	backend.slots = make(chan struct{}, serverSlots)
	backend.fences = map[int]int64{}
	backend.working = map[int]int{}
	backend.http = &http.Server{Handler: backend}
	go func() { _ = backend.http.Serve(listener) }()
	backend.beat()
	go func() {
		for backend.isUp() {
			time.Sleep(heartbeat)
			backend.beat()
		}
	}()
	return nil
}

func (backend *backend) isUp() bool {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return !backend.ended
}

// nextEntry counts a heartbeat and returns its record.
func (backend *backend) nextEntry() serverEntry {
	backend.seqNo++
	return serverEntry{
		Address: backend.address,
		Info:    serverInfo{Service: backend.service, Version: "v1", Zone: backend.zone, Slots: serverSlots},
		Status:  serverStatus{State: backend.state, SeqNo: backend.seqNo, WarmupLeft: "0ms"},
	}
}

// beat writes the server's entry.
func (backend *backend) beat() {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if backend.ended || backend.state == "" {
		return
	}
	entry := backend.nextEntry()
	if backend.lostBeat != nil {
		backend.lostBeat <- entry
		backend.lostBeat = nil
		return
	}
	backend.world.store.put("keyed.servers", backend.id, entry)
}

// loseBeat makes the next heartbeat one whose write gets no answer, and returns its record once it was sent; the store may
// carry it out late.
func (backend *backend) loseBeat() serverEntry {
	lost := make(chan serverEntry, 1)
	backend.mutex.Lock()
	backend.lostBeat = lost
	backend.mutex.Unlock()
	return <-lost
}

// drain reports in the store that the server is draining; it serves on.
func (backend *backend) drain() {
	backend.mutex.Lock()
	backend.state = "draining"
	backend.mutex.Unlock()
	backend.beat()
}

// end ends the server.
func (backend *backend) end() {
	backend.mutex.Lock()
	backend.ended = true
	backend.mutex.Unlock()
	_ = backend.http.Close()
}

func (backend *backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	header := writer.Header()
	if id != "" {
		header.Set("Request-Id", id)
	}
	target := request.Header.Get("Target-Instance")
	switch {
	case target != "" && target != backend.id:
		header.Set("Instance-Id", backend.id)
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
	case request.URL.Path == "/-/grant":
		backend.grant(writer, request)
	case request.URL.Path == "/-/release":
		backend.release(writer, request)
	case request.URL.Path == "/health":
		header.Set("Instance-Id", backend.id)
		backend.mutex.Lock()
		draining := backend.state != "ready"
		backend.mutex.Unlock()
		if draining {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	case id == "":
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
	default:
		backend.handle(id, writer, request)
	}
}

type keyOrder struct {
	FromRev  int    `json:"fromRev"`
	Target   int    `json:"target"`
	Fence    int64  `json:"fence"`
	HoldTime string `json:"hold_time"`
}

func (backend *backend) grant(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	var order keyOrder
	err := json.NewDecoder(request.Body).Decode(&order)
	length, badLength := time.ParseDuration(order.HoldTime)
	if err != nil || badLength != nil || !backend.keyed {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	for key := order.FromRev; key <= order.Target; key++ {
		if backend.fences[key] > order.Fence {
			writer.WriteHeader(http.StatusConflict)
			return
		}
	}
	for key := order.FromRev; key <= order.Target; key++ {
		backend.fences[key] = order.Fence
	}
	backend.holds = append(backend.without(order.FromRev, order.Target), hold{first: order.FromRev, last: order.Target, fence: order.Fence, until: arrived.Add(length)})
}

// without returns the holds less a span of keys; the mutex is held.
func (backend *backend) without(first, last int) []hold {
	var kept []hold
	for _, held := range backend.holds {
		if held.first < first {
			left := held
			left.last = min(held.last, first-1)
			kept = append(kept, left)
		}
		if held.last > last {
			right := held
			right.first = max(held.first, last+1)
			kept = append(kept, right)
		}
	}
	return kept
}

func (backend *backend) release(writer http.ResponseWriter, request *http.Request) {
	var order keyOrder
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	backend.mutex.Lock()
	backend.holds = backend.without(order.FromRev, order.Target)
	for key := order.FromRev; key <= order.Target; key++ {
		backend.fences[key] = max(backend.fences[key], order.Fence)
	}
	backend.mutex.Unlock()
	for backend.worksOn(order.FromRev, order.Target) {
		time.Sleep(releasePoll)
	}
	writer.Header().Set("Handover", fmt.Sprintf("%016x", rand.Uint64()))
}

func (backend *backend) worksOn(first, last int) bool {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	for key := range backend.working {
		if key >= first && key <= last {
			return true
		}
	}
	return false
}

// heldUntil returns until when the server holds a key; the mutex is held.
func (backend *backend) heldUntil(key int) time.Time {
	var until time.Time
	for _, held := range backend.holds {
		if key >= held.first && key <= held.last && held.until.After(until) {
			until = held.until
		}
	}
	return until
}

// handle runs a request, or rejects it: the queue is full, or the server doesn't hold its key.
func (backend *backend) handle(id string, writer http.ResponseWriter, request *http.Request) {
	backend.mutex.Lock()
	full := backend.waiting >= serverSlots+serverQueue
	if !full {
		backend.waiting++
	}
	backend.mutex.Unlock()
	if full {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		backend.mutex.Lock()
		backend.waiting--
		backend.mutex.Unlock()
	}()
	arrived := backend.world.now()
	backend.slots <- struct{}{}
	defer func() { <-backend.slots }()
	key, until, held := backend.begin(request)
	if !held {
		writer.Header().Set("Not-Executed", "1")
		writer.Header().Set("Instance-Id", backend.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	backend.world.recordRun(backend, id, arrived)
	time.Sleep(min(time.Duration((0.5+rand.Float64())*float64(backend.work)), time.Until(until)))
	backend.finish(key)
	backend.mutex.Lock()
	load := fmt.Sprintf("%d,%d,%d", len(backend.slots), max(0, backend.waiting-len(backend.slots)), serverSlots)
	backend.mutex.Unlock()
	writer.Header().Set("Server-Load", load)
	writer.Header().Set("Server-Stamp", backend.id+"."+id)
	if !time.Now().Before(until) {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(writer, "%s by %s\n", id, backend.id)
}

// begin begins to work on a request if the server holds its key.
func (backend *backend) begin(request *http.Request) (key int, until time.Time, held bool) {
	if !backend.keyed {
		return -1, time.Now().Add(time.Hour), true
	}
	key, err := strconv.Atoi(request.Header.Get("Shard-Key"))
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	until = backend.heldUntil(key)
	if err != nil || !until.After(time.Now()) {
		return key, until, false
	}
	backend.working[key]++
	return key, until, true
}

func (backend *backend) finish(key int) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.working[key]--
	if backend.working[key] <= 0 {
		delete(backend.working, key)
	}
}
