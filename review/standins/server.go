package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	keyCount   = 65536
	queueLimit = 24
)

// server stands in for one of the users' servers.
type server struct {
	id, service, zone string
	slots             int
	keyed             bool
	work              time.Duration
	record            *record
	store             *store
	listener          *net.TCPListener
	address           string
	sequence          int64

	// Faults that are on: the share of requests that are shed, and of answers that are sent a second time, late.
	shed, twice atomic.Value
	// body makes the body of an answer; nil means a short one. stream sends it.
	reply func(server *server, conn *serverConn, request *http.Request, id, stamp string) bool
	// onRun is called when a request begins to run.
	onRun func(id string)

	// unframed is the share of answers that have no length and end with their connection.
	unframed atomic.Value

	mutex sync.Mutex
	conns map[*serverConn]bool
	state string
	ended bool
	// onGrant is called with the keys that a grant gives to the server, which did not hold them before.
	onGrant func(server *server, from, to int, fresh map[int]bool)
	fence   [keyCount]int64
	held    [keyCount]time.Time
	running map[int]int
	waiting int
	places  chan struct{}
}

// serverConn is a connection to a server. second is an answer that is sent once more when the next one is expected.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
	second []byte
	// host names the host whose requests came on the connection.
	host string
}

func startServer(server *server) *server {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	cannotRun(err)
	server.listener = listener.(*net.TCPListener)
	server.address = listener.Addr().String()
	server.running = map[int]int{}
	server.places = make(chan struct{}, server.slots)
	server.shed.Store(0.0)
	server.twice.Store(0.0)
	server.unframed.Store(0.0)
	server.conns = map[*serverConn]bool{}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(&serverConn{Conn: socket, reader: bufio.NewReader(socket)})
		}
	}()
	server.state = "ready"
	server.beat()
	go func() {
		for !server.hasEnded() {
			time.Sleep(1500 * time.Millisecond)
			server.beat()
		}
	}()
	return server
}

func (server *server) hasEnded() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.ended
}

// drain reports that the server leaves; it goes on serving.
func (server *server) drain() {
	server.mutex.Lock()
	server.state = "draining"
	server.mutex.Unlock()
	server.beat()
}

// end ends the server and removes its entry.
func (server *server) end() {
	server.mutex.Lock()
	server.ended = true
	for conn := range server.conns {
		_ = conn.Close()
	}
	server.mutex.Unlock()
	_ = server.listener.Close()
	server.store.put("keyed.servers", server.id, nil)
}

// beat writes the server's entry.
func (server *server) beat() {
	server.mutex.Lock()
	state, ended := server.state, server.ended
	server.mutex.Unlock()
	if ended {
		return
	}
	sequence := atomic.AddInt64(&server.sequence, 1)
	server.store.put("keyed.servers", server.id, map[string]any{
		"address": server.address,
		"info":    map[string]any{"service": server.service, "version": "v1", "zone": server.zone, "slots": server.slots},
		"status":  map[string]any{"state": state, "seqNo": sequence, "warmupLeft": "0ms"},
	})
}

func (server *server) serve(conn *serverConn) {
	server.mutex.Lock()
	server.conns[conn] = true
	server.mutex.Unlock()
	defer func() {
		server.mutex.Lock()
		delete(server.conns, conn)
		server.mutex.Unlock()
		_ = conn.Close()
	}()
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(conn.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if conn.second != nil {
			_, _ = conn.Write(conn.second)
			server.record.line("%s sends the second answer, late: %.60q", server.id, conn.second)
			conn.second = nil
		}
		if !server.answer(conn, request, body) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection stays.
func (server *server) answer(conn *serverConn, request *http.Request, body []byte) bool {
	target := request.Header.Get("Target-Instance")
	switch {
	case target != "" && target != server.id:
		return server.send(conn, request, 421, "Not-Executed: 1\r\nInstance-Id: "+server.id+"\r\n", nil)
	case request.URL.Path == "/-/grant":
		return server.grant(conn, request, body)
	case request.URL.Path == "/-/release":
		return server.release(conn, request, body)
	case request.URL.Path == "/health":
		return server.send(conn, request, 200, "Instance-Id: "+server.id+"\r\n"+server.load(), nil)
	default:
		return server.run(conn, request)
	}
}

func (server *server) load() string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return fmt.Sprintf("Server-Load: %d,%d,%d\r\n", len(server.places), max(0, server.waiting-len(server.places)), server.slots)
}

// send sends an answer; while the fault is on, a share of the answers to requests of clients is sent a second time later.
func (server *server) send(conn *serverConn, request *http.Request, status int, headers string, body []byte) bool {
	id := request.Header.Get("Request-Id")
	if id != "" {
		headers = "Request-Id: " + id + "\r\n" + headers
	}
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n", status, http.StatusText(status), headers, len(body))
	answer.Write(body)
	_, err := conn.Write(answer.Bytes())
	if id != "" && rand.Float64() < server.twice.Load().(float64) {
		conn.second = answer.Bytes()
	}
	return err == nil
}

type order struct {
	FromRev  int    `json:"fromRev"`
	Target   int    `json:"target"`
	Fence    int64  `json:"fence"`
	HoldTime string `json:"hold_time"`
}

func (server *server) grant(conn *serverConn, request *http.Request, body []byte) bool {
	var order order
	err := json.Unmarshal(body, &order)
	hold, badHold := time.ParseDuration(order.HoldTime)
	if err != nil || badHold != nil {
		return server.send(conn, request, 400, "", nil)
	}
	until := time.Now().Add(hold)
	server.mutex.Lock()
	status := 200
	for key := order.FromRev; key <= order.Target; key++ {
		if server.fence[key] > order.Fence {
			status = 409
		}
	}
	fresh := map[int]bool{}
	for key := order.FromRev; key <= order.Target && status == 200; key++ {
		if !server.held[key].After(time.Now()) {
			fresh[key] = true
		}
		server.fence[key] = order.Fence
		server.held[key] = until
	}
	server.mutex.Unlock()
	if len(fresh) > 0 && server.onGrant != nil {
		server.record.line("%s is granted keys %d to %d for %s, fence %d", server.id, order.FromRev, order.Target, hold, order.Fence)
		server.onGrant(server, order.FromRev, order.Target, fresh)
	}
	return server.send(conn, request, status, "", nil)
}

func (server *server) release(conn *serverConn, request *http.Request, body []byte) bool {
	var order order
	if json.Unmarshal(body, &order) != nil {
		return server.send(conn, request, 400, "", nil)
	}
	server.mutex.Lock()
	for key := order.FromRev; key <= order.Target; key++ {
		server.fence[key] = max(server.fence[key], order.Fence)
		server.held[key] = time.Time{}
	}
	server.mutex.Unlock()
	if server.onGrant != nil {
		server.record.line("%s is asked to release keys %d to %d, fence %d", server.id, order.FromRev, order.Target, order.Fence)
	}
	for server.isRunning(order.FromRev, order.Target) {
		time.Sleep(2 * time.Millisecond)
	}
	return server.send(conn, request, 200, "Handover: h-"+server.id+"\r\n", nil)
}

func (server *server) isRunning(from, to int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for key := range server.running {
		if key >= from && key <= to {
			return true
		}
	}
	return false
}

// enter takes a place in the queue, and reports false if the server is full.
func (server *server) enter() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.waiting >= server.slots+queueLimit {
		return false
	}
	server.waiting++
	return true
}

func (server *server) leave() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.waiting--
}

// begin counts a request as running if the server holds its key.
func (server *server) begin(key int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.keyed && !server.held[key].After(time.Now()) {
		return false
	}
	server.running[key]++
	return true
}

func (server *server) finish(key int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.running[key]--
	if server.running[key] == 0 {
		delete(server.running, key)
	}
}

// run runs a request of a client, or refuses it.
func (server *server) run(conn *serverConn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	if rand.Float64() < server.shed.Load().(float64) || !server.enter() {
		server.record.line("%s refuses %s: 503, Not-Executed", server.id, id)
		return server.send(conn, request, 503, "Not-Executed: 1\r\n"+server.load(), nil)
	}
	defer server.leave()
	server.places <- struct{}{}
	defer func() { <-server.places }()
	key := -1
	if server.keyed {
		parsed, err := strconv.Atoi(request.Header.Get("Shard-Key"))
		if err != nil || parsed < 0 || parsed >= keyCount {
			return server.send(conn, request, 421, "Not-Executed: 1\r\nInstance-Id: "+server.id+"\r\n", nil)
		}
		key = parsed
	}
	if !server.begin(key) {
		server.record.line("%s refuses %s: 421, Not-Executed", server.id, id)
		return server.send(conn, request, 421, "Not-Executed: 1\r\nInstance-Id: "+server.id+"\r\n", nil)
	}
	defer server.finish(key)
	server.record.line("%s runs %s", server.id, id)
	server.onRun(id)
	stamp := "s." + id + "." + server.id
	if server.reply != nil {
		return server.reply(server, conn, request, id, stamp)
	}
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(server.work)))
	return server.send(conn, request, 200, "Server-Stamp: "+stamp+"\r\n"+server.load(), []byte("done "+id))
}

// resetFrom resets the connections on which a host's requests came.
func (server *server) resetFrom(host string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		if conn.host == host {
			_ = conn.Conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}
