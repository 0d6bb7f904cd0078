package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pieces is in how many pieces a server sends a body.
const pieces = 24

// wholeBody is the body of a server's answer to a request.
func wholeBody(id string) []byte {
	return bytes.Repeat([]byte("notice "+id+"\n"), 24000/(len(id)+8))
}

// sendInPieces works on a request, and sends its body as it is made. A share of the answers has no length while the fault is
// on, and ends with its connection.
func sendInPieces(server *server, conn *serverConn, request *http.Request, id, stamp string) bool {
	conn.host, _, _ = strings.Cut(id, "-")
	work := time.Duration((0.5 + rand.Float64()) * float64(server.work))
	body := wholeBody(id)
	unframed := rand.Float64() < server.unframed.Load().(float64)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n", id, stamp)
	if unframed {
		head += "Connection: close\r\n\r\n"
		server.record.line("%s answers %s without a length", server.id, id)
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n", len(body))
	}
	time.Sleep(work / 5)
	_, err := conn.Write([]byte(head))
	size := (len(body) + pieces - 1) / pieces
	for from := 0; from < len(body) && err == nil; from += size {
		time.Sleep(work * 4 / 5 / pieces)
		_, err = conn.Write(body[from:min(len(body), from+size)])
	}
	if err != nil {
		server.record.line("%s could not send the whole answer to %s: %v", server.id, id, err)
	} else {
		server.record.line("%s has sent all %d bytes of the answer to %s", server.id, len(body), id)
	}
	return err == nil && !unframed
}

// earlyEnd sends requests to one host. In the trouble that host has lost its path to some servers, which it reaches through
// other hosts, and some of those are killed.
func earlyEnd(record *record, trouble bool) bool {
	const (
		otherHosts  = 7
		clientCount = 240
		warmUp      = 6 * time.Second
		windows     = 7
		cutFor      = 8 * time.Second
		calm        = 4 * time.Second
		unframed    = 0.05 // the x of the site's garble "unframed"
		killed      = 4    // of 8 hosts: the share of the site's herd_kill is 0.55
		deadline    = 6 * time.Second
	)
	store := startStore()
	current = newFleet(store)
	defer current.end()
	services := []string{"huvo11a", "kafi81c", "lovo22d", "wuno96b"}
	counts := []int{11, 8, 6, 11}
	cutCounts := []int{2, 1, 1, 2} // at most 0.24 of each, the share of the site's srv_cut
	var servers, cut, garbled []*server
	var routes, described []map[string]any
	for i, service := range services {
		for j := range counts[i] {
			server := &server{id: fmt.Sprintf("i-%04x", 0xa000+0x100*i+j), service: service, zone: zones[j%len(zones)], slots: 6, work: 880 * time.Millisecond, record: record, store: store}
			server.onRun = func(string) {}
			server.reply = sendInPieces
			startServer(server)
			servers = append(servers, server)
			if j < cutCounts[i] {
				cut = append(cut, server)
			}
			if j < counts[i]/2 {
				garbled = append(garbled, server)
			}
		}
		routes = append(routes, map[string]any{
			"name": "r-" + service, "host": "hulo84.example", "pathPrefix": "/" + service + "/", "kind": "safe", "timeout": "6000ms", "targetLatency": "2500ms",
			"priority": 2, "service": service, "maxAttempts": 2,
		})
		described = append(described, map[string]any{"name": service, "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false})
	}
	store.put("keyed.op", "config", map[string]any{
		"version": 7, "routes": routes, "services": described,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	current.start(otherHosts, zones, smallBounds)
	asked := current.startAlone("front-alone", zones[0], smallBounds)
	current.awaitReady()
	record.line("all hosts are ready; clients send to %s", asked.name)

	var mutex sync.Mutex
	running, whole, failed, short := true, 0, 0, 0
	isRunning := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return running
	}
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Go(func() {
			client := &client{address: asked.front()}
			for isRunning() {
				time.Sleep(time.Duration(rand.Float64() * float64(100*time.Millisecond)))
				id := fmt.Sprintf("a-%016x", rand.Uint64())
				record.line("client %d sends %s", i, id)
				result := client.send("GET", "/"+services[i%len(services)]+"/2f", id, deadline, "", "")
				expected := wholeBody(id)
				record.line("client %d has the answer to %s: %d, %d of %d bytes, stamp %q, Content-Length %q, %v", i, id, result.status, len(result.body), len(expected), result.header.Get("Server-Stamp"), result.header.Get("Content-Length"), result.err)
				mutex.Lock()
				switch {
				case result.status/100 != 2 || result.err != nil:
					failed++
				case bytes.Equal(result.body, expected):
					whole++
				default:
					short++
					record.line("MIXED broken: %s was answered %d with %d of %d bytes", id, result.status, len(result.body), len(expected))
				}
				mutex.Unlock()
			}
		})
	}
	time.Sleep(warmUp)
	for range windows {
		if trouble {
			for _, server := range cut {
				cannotRun(setCut(server.listener, true))
				server.resetFrom("a")
			}
			record.line("%s is cut from %d of %d servers", asked.name, len(cut), len(servers))
		}
		time.Sleep(2 * time.Second)
		setUnframed(garbled, trouble, unframed)
		for range 3 {
			time.Sleep(1300 * time.Millisecond)
			if trouble {
				killSome(record, killed)
			}
		}
		time.Sleep(600 * time.Millisecond)
		setUnframed(garbled, false, 0)
		time.Sleep(cutFor - 6500*time.Millisecond)
		if trouble {
			for _, server := range cut {
				cannotRun(setCut(server.listener, false))
			}
			record.line("the cut has healed")
		}
		time.Sleep(calm)
	}
	mutex.Lock()
	running = false
	mutex.Unlock()
	clients.Wait()
	summary := fmt.Sprintf("whole answers: %d; failures: %d; successes with a body that is not whole: %d", whole, failed, short)
	record.line("%s", summary)
	fmt.Println(summary)
	return short > 0
}

// setUnframed sets the share of answers without a length.
func setUnframed(servers []*server, on bool, share float64) {
	for _, server := range servers {
		server.unframed.Store(0.0)
		if on {
			server.unframed.Store(share)
		}
	}
}

// killSome kills some of the other hosts at the same moment.
func killSome(record *record, count int) {
	for _, i := range rand.Perm(len(current.hosts) - 1)[:count] {
		host := current.hosts[i]
		record.line("%s is killed", host.name)
		go current.kill(host)
	}
}
