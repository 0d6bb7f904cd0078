package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// frameBytes is the size of the length in front of a record.
const frameBytes = 4

// newestPage is the number of records in one page of a listing.
const newestPage = 500

// keyedRecord is the newest record of a key.
type keyedRecord struct {
	value  []byte
	offset int64
}

// keyedTopic is one topic of the store; it keeps all records for the length of a case, which is shorter than `keep`.
type keyedTopic struct {
	records [][]byte
	newest  map[string]keyedRecord
}

// platformStore is a stand-in for the platform's store, with one listener for each host.
type platformStore struct {
	mutex   sync.Mutex
	topics  map[string]*keyedTopic
	changed chan struct{}
	// lastConditional is the host whose append with a condition was carried out last.
	lastConditional int
}

func newStore() *platformStore {
	return &platformStore{topics: map[string]*keyedTopic{}, changed: make(chan struct{}), lastConditional: -1}
}

// serve serves one host's calls.
func (store *platformStore) serve(host int, listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", func(writer http.ResponseWriter, request *http.Request) { store.append(host, writer, request) })
	mux.HandleFunc("GET /-/log-read", store.read)
	mux.HandleFunc("GET /-/log-newest", store.list)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(writer, request)
	})}
	go func() { _ = server.Serve(listener) }()
}

func (store *platformStore) topic(name string) *keyedTopic {
	found, known := store.topics[name]
	if !known {
		found = &keyedTopic{newest: map[string]keyedRecord{}}
		store.topics[name] = found
	}
	return found
}

// put appends a record as the operator or a server does, and returns its offset; a nil value drops the key.
func (store *platformStore) put(name, key string, value any) int64 {
	raw := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		raw = append(raw, data...)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.add(store.topic(name), raw)
}

// add appends a record and wakes the reads that wait; the store's mutex is held.
func (store *platformStore) add(topic *keyedTopic, raw []byte) int64 {
	offset := int64(len(topic.records))
	end := 1 + int(raw[0])
	key := string(raw[1:end])
	topic.newest[key] = keyedRecord{value: raw[end:], offset: offset}
	if len(raw) == end {
		delete(topic.newest, key)
	}
	topic.records = append(topic.records, raw)
	close(store.changed)
	store.changed = make(chan struct{})
	return offset
}

func (store *platformStore) append(host int, writer http.ResponseWriter, request *http.Request) {
	name := request.URL.Query().Get("topic")
	body, err := io.ReadAll(request.Body)
	if err != nil || name == "keyed.op" || name == "keyed.servers" || !strings.HasPrefix(name, "keyed.") {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	at, err := strconv.ParseInt(request.URL.Query().Get("at"), 10, 64)
	conditional := err == nil
	store.mutex.Lock()
	defer store.mutex.Unlock()
	topic := store.topic(name)
	offset := int64(len(topic.records))
	if conditional && at != offset {
		writer.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(writer).Encode(map[string]int64{"endOffset": offset})
		return
	}
	if conditional {
		store.lastConditional = host
	}
	for len(body) > frameBytes {
		length := int(binary.BigEndian.Uint32(body))
		store.add(topic, body[frameBytes:frameBytes+length])
		body = body[frameBytes+length:]
	}
	_ = json.NewEncoder(writer).Encode(map[string]int64{"offset": offset, "endOffset": int64(len(topic.records))})
}

func (store *platformStore) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.ParseInt(query.Get("fromRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		store.mutex.Lock()
		topic := store.topic(query.Get("topic"))
		data := topic.encode(from)
		ready := int64(len(topic.records)) > from
		changed := store.changed
		store.mutex.Unlock()
		if ready || !waiting {
			_, _ = writer.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
}

func (topic *keyedTopic) encode(from int64) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(topic.records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for offset := max(from, 0); offset < int64(len(topic.records)); offset++ {
		raw := topic.records[offset]
		data = binary.BigEndian.AppendUint32(data, uint32(len(raw)))
		data = append(data, raw...)
	}
	return data
}

// listedRecord is one record of a listing.
type listedRecord struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (store *platformStore) list(writer http.ResponseWriter, request *http.Request) {
	after := request.URL.Query().Get("after")
	answer := struct {
		Items     []listedRecord `json:"items"`
		HasMore   bool           `json:"hasMore"`
		EndOffset int64          `json:"endOffset"`
	}{Items: []listedRecord{}}
	store.mutex.Lock()
	topic := store.topic(request.URL.Query().Get("topic"))
	answer.EndOffset = int64(len(topic.records))
	for key, record := range topic.newest {
		if key > after {
			answer.Items = append(answer.Items, listedRecord{Key: key, Value: base64.StdEncoding.EncodeToString(record.value), Offset: record.offset})
		}
	}
	store.mutex.Unlock()
	sort.Slice(answer.Items, func(i, j int) bool { return answer.Items[i].Key < answer.Items[j].Key })
	if len(answer.Items) > newestPage {
		answer.Items, answer.HasMore = answer.Items[:newestPage], true
	}
	_ = json.NewEncoder(writer).Encode(answer)
}

// lastConditionalHost returns the host that last wrote under a condition, or -1.
func (store *platformStore) lastConditionalHost() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.lastConditional
}
