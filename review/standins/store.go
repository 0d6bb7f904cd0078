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
	"sync"
	"time"
)

// store stands in for the platform's store: topics of one partition, with the newest record of each key.
type store struct {
	mutex   sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	address string
}

type topic struct {
	records [][]byte
	newest  map[string]int64
}

func startStore() *store {
	store := &store{topics: map[string]*topic{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	store.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", store.append)
	mux.HandleFunc("GET /-/log-read", store.read)
	mux.HandleFunc("GET /-/log-newest", store.listNewest)
	go func() { _ = http.Serve(listener, mux) }()
	return store
}

func (store *store) topic(name string) *topic {
	found, known := store.topics[name]
	if !known {
		found = &topic{newest: map[string]int64{}}
		store.topics[name] = found
	}
	return found
}

// put writes a record as the operator or a server does; a nil value drops the key.
func (store *store) put(name, key string, value any) {
	raw := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		cannotRun(err)
		raw = append(raw, data...)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.add(store.topic(name), raw)
}

func (store *store) add(topic *topic, raw []byte) {
	key := string(raw[1 : 1+int(raw[0])])
	topic.newest[key] = int64(len(topic.records))
	if len(raw) == 1+len(key) {
		delete(topic.newest, key)
	}
	topic.records = append(topic.records, raw)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) append(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	name := request.URL.Query().Get("topic")
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	topic := store.topic(name)
	offset := int64(len(topic.records))
	at, err := strconv.ParseInt(request.URL.Query().Get("at"), 10, 64)
	if err == nil && at != offset {
		writer.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(writer).Encode(map[string]int64{"endOffset": offset})
		return
	}
	for len(body) > 4 {
		length := int(binary.BigEndian.Uint32(body))
		store.add(topic, body[4:4+length])
		body = body[4+length:]
	}
	_ = json.NewEncoder(writer).Encode(map[string]int64{"offset": offset, "endOffset": int64(len(topic.records))})
}

func (store *store) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.Atoi(query.Get("fromRev"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		topic := store.topic(query.Get("topic"))
		data := binary.BigEndian.AppendUint64(nil, uint64(len(topic.records)))
		data = binary.BigEndian.AppendUint64(data, 0)
		for i := from; i < len(topic.records); i++ {
			data = binary.BigEndian.AppendUint32(data, uint32(len(topic.records[i])))
			data = append(data, topic.records[i]...)
		}
		changed := store.changed
		ready := len(topic.records) > from
		store.mutex.Unlock()
		if ready {
			_, _ = writer.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = writer.Write(data)
			return
		case <-request.Context().Done():
			return
		}
	}
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (store *store) listNewest(writer http.ResponseWriter, request *http.Request) {
	after := request.URL.Query().Get("after")
	store.mutex.Lock()
	topic := store.topic(request.URL.Query().Get("topic"))
	items := []newestItem{}
	for key, offset := range topic.newest {
		if key > after {
			items = append(items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(topic.records[offset][1+len(key):]), Offset: offset})
		}
	}
	end := len(topic.records)
	store.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "hasMore": more, "endOffset": end})
}
