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
	// readLimit is the largest number of records in one answer to a read.
	readLimit = 1000
	// maxAppendSize is the largest record, in bytes.
	maxAppendSize = 8 << 20
)

// LogFaults are the faults that the stand-in of the log can inject.
type LogFaults struct {
	// Outage answers every read and append with 503.
	Outage bool
	// LoseReplies is how many of the next appends take effect but get no answer: their connections are closed.
	LoseReplies int
	// RefuseAppends is how many of the next appends get no answer and have no effect.
	RefuseAppends int
	// Delay is the time before the answer to a read, or to an append, which has taken effect by then.
	Delay time.Duration
	// Retention is the number of newest records that each stream keeps; 0 keeps all.
	Retention int
	// AppendsPerSecond is the limit on appends to all streams above which they are refused with 429; 0 means no limit.
	AppendsPerSecond int
}

// stream holds the retained records of one stream.
type stream struct {
	// first is the offset of the first retained record.
	first   int64
	records []json.RawMessage
}

// next returns the offset that the next append gets.
func (stream *stream) next() int64 {
	return stream.first + int64(len(stream.records))
}

// Log is the stand-in of the platform's append-only log, held in memory.
type Log struct {
	mutex   sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	// changed is closed and replaced at each append and change of faults; waiting reads then check again.
	changed chan struct{}
	// appendsInSecond counts the appends within rateSecond, a Unix time.
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

// ServeHTTP serves appends, reads and faults, and implements http.Handler.
func (log *Log) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	log.mux.ServeHTTP(writer, request)
}

// SetFaults replaces all faults, trims the streams to the new retention and wakes waiting reads.
func (log *Log) SetFaults(faults LogFaults) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.faults = faults
	for _, stream := range log.streams {
		log.trim(stream)
	}
	log.wakeReaders()
}

// Appends returns the number of records appended to a stream so far, including those no longer retained.
func (log *Log) Appends(name string) int64 {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.stream(name).next()
}

// wakeReaders makes waiting reads check again; the caller holds the mutex.
func (log *Log) wakeReaders() {
	close(log.changed)
	log.changed = make(chan struct{})
}

// stream returns the stream of a name and creates it if needed; the caller holds the mutex.
func (log *Log) stream(name string) *stream {
	found, exists := log.streams[name]
	if !exists {
		found = &stream{}
		log.streams[name] = found
	}
	return found
}

// trim drops the oldest records beyond the retention; the caller holds the mutex.
func (log *Log) trim(stream *stream) {
	excess := len(stream.records) - log.faults.Retention
	if log.faults.Retention == 0 || excess <= 0 {
		return
	}
	stream.first += int64(excess)
	stream.records = append([]json.RawMessage(nil), stream.records[excess:]...)
}

// append handles an append and injects the faults that apply to it.
func (log *Log) append(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxAppendSize+1))
	if err != nil {
		abort()
	}
	if len(data) > maxAppendSize || !json.Valid(data) {
		http.Error(writer, "record must be valid JSON of at most 8 MiB", http.StatusBadRequest)
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

// store appends the record unless a fault prevents it. It returns the faults that apply to this append, and the record's
// offset, or -1 if nothing was stored.
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

// exceedsRate counts an append and reports whether it exceeds AppendsPerSecond; the caller holds the mutex.
func (log *Log) exceedsRate() bool {
	second := time.Now().Unix()
	if second != log.rateSecond {
		log.rateSecond = second
		log.appendsInSecond = 0
	}
	log.appendsInSecond++
	return log.faults.AppendsPerSecond > 0 && log.appendsInSecond > log.faults.AppendsPerSecond
}

// read answers with the records from an offset on. If there are none, it waits up to the request's wait, in
// milliseconds, for an append.
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

// load returns the retained records from an offset on, at most readLimit, with the faults and the channel that is closed
// at the next change.
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
