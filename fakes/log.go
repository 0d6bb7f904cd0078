package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cherrykeel/remote"
)

const (
	readLimit     = 1000
	maxAppendSize = 8 << 20
)

// LogFaults are the faults of the log stand-in.
type LogFaults struct {
	// Outage refuses everything.
	Outage bool
	// LoseReplies is how many of the next appends take effect without an answer.
	LoseReplies int
	// RefuseAppends is how many of the next appends fail without effect and without an answer.
	RefuseAppends int
	Delay         time.Duration
	// Retention is how many records each stream keeps; 0 keeps all.
	Retention int
	// AppendsPerSecond is refused with 429 when exceeded; 0 has no limit.
	AppendsPerSecond int
}

type stream struct {
	first   int64
	records []json.RawMessage
}

func (stream *stream) next() int64 {
	return stream.first + int64(len(stream.records))
}

// Log is the stand-in of the platform's append-only log, held in memory.
type Log struct {
	mutex           sync.Mutex
	streams         map[string]*stream
	faults          LogFaults
	changed         chan struct{}
	rateSecond      int64
	appendsInSecond int
	mux             *http.ServeMux
}

// NewLog returns an empty log.
func NewLog() *Log {
	log := &Log{streams: map[string]*stream{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	log.mux.HandleFunc("POST /streams/{stream}/records", log.append)
	log.mux.HandleFunc("GET /streams/{stream}/records", log.read)
	log.mux.HandleFunc("POST /faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults LogFaults
		if readJSON(writer, request, &faults) {
			log.SetFaults(faults)
			writeJSON(writer, faults)
		}
	})
	return log
}

// ServeHTTP implements http.Handler.
func (log *Log) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	log.mux.ServeHTTP(writer, request)
}

// SetFaults replaces the faults; readers that wait are woken.
func (log *Log) SetFaults(faults LogFaults) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.faults = faults
	for _, stream := range log.streams {
		log.trim(stream)
	}
	log.wakeReaders()
}

// Appends returns how many records have ever been appended to a stream.
func (log *Log) Appends(name string) int64 {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.stream(name).next()
}

func (log *Log) wakeReaders() {
	close(log.changed)
	log.changed = make(chan struct{})
}

func (log *Log) stream(name string) *stream {
	found, exists := log.streams[name]
	if !exists {
		found = &stream{}
		log.streams[name] = found
	}
	return found
}

func (log *Log) trim(stream *stream) {
	excess := len(stream.records) - log.faults.Retention
	if log.faults.Retention == 0 || excess <= 0 {
		return
	}
	stream.first += int64(excess)
	stream.records = append([]json.RawMessage(nil), stream.records[excess:]...)
}

func (log *Log) append(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxAppendSize+1))
	if err != nil {
		abort()
	}
	if len(data) > maxAppendSize || !json.Valid(data) {
		http.Error(writer, "a record is JSON of at most 8 MiB", http.StatusBadRequest)
		return
	}
	faults, offset := log.store(request.PathValue("stream"), data)
	time.Sleep(faults.Delay)
	switch {
	case faults.Outage:
		http.Error(writer, "outage", http.StatusServiceUnavailable)
	case offset < 0 && faults.RefuseAppends == 0:
		http.Error(writer, "too many appends", http.StatusTooManyRequests)
	case offset < 0 || faults.LoseReplies > 0:
		abort()
	default:
		writeJSON(writer, remote.AppendReply{Offset: offset})
	}
}

// store returns the faults as they were for this append, and its offset or -1.
func (log *Log) store(name string, data []byte) (LogFaults, int64) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	faults := log.faults
	if faults.Outage {
		return faults, -1
	}
	if faults.RefuseAppends > 0 {
		log.faults.RefuseAppends--
		return faults, -1
	}
	if log.exceedsRate() {
		return faults, -1
	}
	if faults.LoseReplies > 0 {
		log.faults.LoseReplies--
	}
	stream := log.stream(name)
	offset := stream.next()
	stream.records = append(stream.records, data)
	log.trim(stream)
	log.wakeReaders()
	return faults, offset
}

func (log *Log) exceedsRate() bool {
	second := time.Now().Unix()
	if second != log.rateSecond {
		log.rateSecond = second
		log.appendsInSecond = 0
	}
	log.appendsInSecond++
	return log.faults.AppendsPerSecond > 0 && log.appendsInSecond > log.faults.AppendsPerSecond
}

func (log *Log) read(writer http.ResponseWriter, request *http.Request) {
	from, _ := strconv.ParseInt(request.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		reply, faults, grown := log.load(request.PathValue("stream"), from)
		if faults.Outage {
			http.Error(writer, "outage", http.StatusServiceUnavailable)
			return
		}
		if len(reply.Records) > 0 || wait == 0 {
			time.Sleep(faults.Delay)
			writeJSON(writer, reply)
			return
		}
		select {
		case <-grown:
		case <-timeout.C:
			wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

func (log *Log) load(name string, from int64) (remote.ReadReply, LogFaults, chan struct{}) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	stream := log.stream(name)
	reply := remote.ReadReply{First: stream.first, Next: stream.next()}
	start := max(from, stream.first)
	for offset := start; offset < stream.next() && len(reply.Records) < readLimit; offset++ {
		reply.Records = append(reply.Records, remote.ReadRecord{Offset: offset, Data: stream.records[offset-stream.first]})
	}
	return reply, log.faults, log.changed
}
