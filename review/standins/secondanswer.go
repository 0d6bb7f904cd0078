package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// secondAnswer sends requests that may run once to servers that hold keys. In the trouble, servers refuse some requests as
// not run, and send a few of their answers a second time, when the next answer is expected on the connection.
func secondAnswer(record *record, trouble bool) bool {
	const (
		hostCount   = 8
		serverCount = 8
		clientCount = 160
		pause       = 300 * time.Millisecond
		warmUp      = 5 * time.Second
		windows     = 6
		window      = 5 * time.Second // the longest of the site's garble "extra late"
		calm        = 2 * time.Second
		twice       = 0.03 // its x, the share of answers
		shed        = 0.45 // the x of the site's srv_grey "shed"
		deadline    = 1200 * time.Millisecond
	)
	var mutex sync.Mutex
	runs := map[string][]string{}
	store := startStore()
	current = newFleet(store)
	defer current.end()
	var servers []*server
	for i := range serverCount {
		id := fmt.Sprintf("i-%04x", 0xa100+i)
		server := &server{id: id, service: "huvo11a", zone: zones[i%len(zones)], slots: 6, keyed: true, work: 60 * time.Millisecond, record: record, store: store}
		server.onRun = func(request string) {
			mutex.Lock()
			defer mutex.Unlock()
			runs[request] = append(runs[request], id)
		}
		servers = append(servers, startServer(server))
	}
	store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-lodge", "host": "hulo84.example", "pathPrefix": "/lodge/", "kind": "unsafe", "timeout": "1200ms", "targetLatency": "500ms",
			"priority": 0, "service": "huvo11a", "maxAttempts": 2,
		}},
		"services": []map[string]any{{"name": "huvo11a", "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false, "useShards": true, "warm": "3s", "grants": "direct"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	current.start(hostCount, zones, smallBounds)
	current.awaitReady()
	record.line("all %d hosts are ready", hostCount)

	answers := map[string]int{}
	running := true
	isRunning := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return running
	}
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Go(func() {
			host := current.hosts[i%hostCount]
			client := &client{address: host.front()}
			for isRunning() {
				time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(pause)))
				id := fmt.Sprintf("%016x", rand.Uint64())
				key := rand.IntN(keyCount)
				record.line("client %d sends %s to %s, key %d", i, id, host.name, key)
				result := client.send("PUT", "/lodge/2f", id, deadline, fmt.Sprintf("Shard-Key: %d\r\n", key), "application "+id)
				record.line("client %d has the answer to %s: %d %v", i, id, result.status, result.err)
				mutex.Lock()
				answers[id] = result.status
				mutex.Unlock()
			}
		})
	}
	time.Sleep(warmUp)
	for range windows {
		for i, server := range servers {
			if trouble {
				server.shed.Store(shed)
			}
			if trouble && i < serverCount*6/10 {
				server.twice.Store(twice)
			}
		}
		record.line("trouble begins: %v", trouble)
		time.Sleep(window)
		for _, server := range servers {
			server.shed.Store(0.0)
			server.twice.Store(0.0)
		}
		record.line("trouble ends")
		time.Sleep(calm)
	}
	mutex.Lock()
	running = false
	mutex.Unlock()
	clients.Wait()
	time.Sleep(2 * time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	counts := map[int]int{}
	refused, repeated := 0, 0
	for id, status := range answers {
		counts[status]++
		promised := status == 503 || status == 429 || status == 408 || status == 421
		if promised && len(runs[id]) > 0 {
			refused++
			record.line("REFUSED broken: %s was answered %d and has run at %v", id, status, runs[id])
		}
	}
	for id, servers := range runs {
		if len(servers) > 1 {
			repeated++
			record.line("TWICE broken: %s has run at %v", id, servers)
		}
	}
	summary := fmt.Sprintf("requests by status: %v; answered as not run, and run: %d; run twice or more: %d", counts, refused, repeated)
	record.line("%s", summary)
	fmt.Println(summary)
	return refused+repeated > 0
}
