package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// sampledKeys is the distance between the keys whose holders are compared.
const sampledKeys = 64

// holders checks that no key has two holders.
type holders struct {
	record  *record
	mutex   sync.Mutex
	servers []*server
	// overlapSince is since when a sampled key has had two holders, by key.
	overlapSince map[int]time.Time
	longest      time.Duration
	long, atWork int
}

func (holders *holders) all() []*server {
	holders.mutex.Lock()
	defer holders.mutex.Unlock()
	return append([]*server{}, holders.servers...)
}

func (holders *holders) add(server *server) {
	holders.mutex.Lock()
	defer holders.mutex.Unlock()
	holders.servers = append(holders.servers, server)
}

// checkGrant counts the keys that a server is given while another one holds them and is at work on them.
func (holders *holders) checkGrant(to *server, _, _ int, fresh map[int]bool) {
	now := time.Now()
	for _, other := range holders.all() {
		if other == to {
			continue
		}
		other.mutex.Lock()
		for key := range other.running {
			if !other.ended && fresh[key] && other.held[key].After(now) {
				holders.atWork++
				holders.record.line("OWNER broken: %s is given key %d, on which %s is at work; its hold would have run out %s later", to.id, key, other.id, other.held[key].Sub(now).Round(time.Millisecond))
			}
		}
		other.mutex.Unlock()
	}
}

// sample compares who holds which keys now.
func (holders *holders) sample() {
	now := time.Now()
	names := map[int][]string{}
	for _, server := range holders.all() {
		server.mutex.Lock()
		for key := 0; key < keyCount && !server.ended; key += sampledKeys {
			if server.held[key].After(now) {
				names[key] = append(names[key], server.id)
			}
		}
		server.mutex.Unlock()
	}
	for key := 0; key < keyCount; key += sampledKeys {
		since, known := holders.overlapSince[key]
		switch {
		case len(names[key]) < 2:
			delete(holders.overlapSince, key)
		case !known:
			holders.overlapSince[key] = now
			holders.record.line("key %d has two holders: %v", key, names[key])
		default:
			before := holders.longest
			holders.longest = max(holders.longest, now.Sub(since))
			if now.Sub(since) > 500*time.Millisecond && before <= 500*time.Millisecond {
				holders.record.line("OWNER broken: key %d has had two holders for over half a second: %v", key, names[key])
			}
			if now.Sub(since) > 500*time.Millisecond {
				holders.long++
			}
		}
	}
}

// strayEntry replaces servers that hold keys one after the other: a new one starts, the old one reports that it leaves. In
// the trouble, another writer's entry with the old one's address, for a service that isn't named in the configuration,
// stands in the store a second before that.
func strayEntry(record *record, trouble bool) bool {
	const (
		hostCount   = 8
		serverCount = 8
		clientCount = 120
		warmUp      = 6 * time.Second
		rounds      = 4
		ahead       = time.Second
		servesOn    = 3 * time.Second // drain, and a little longer
		calm        = 2 * time.Second
		deadline    = 1500 * time.Millisecond
	)
	store := startStore()
	current = newFleet(store)
	defer current.end()
	holders := &holders{record: record, overlapSince: map[int]time.Time{}}
	start := func(i int) *server {
		server := &server{id: fmt.Sprintf("i-%04x", 0xa100+i), service: "huvo11a", zone: zones[i%len(zones)], slots: 6, keyed: true, work: 220 * time.Millisecond, record: record, store: store}
		server.onRun = func(string) {}
		server.onGrant = holders.checkGrant
		startServer(server)
		holders.add(server)
		return server
	}
	var servers []*server
	for i := range serverCount {
		servers = append(servers, start(i))
	}
	store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-status", "host": "hulo84.example", "pathPrefix": "/status/", "kind": "safe", "timeout": "1500ms", "targetLatency": "600ms",
			"priority": 2, "service": "huvo11a", "maxAttempts": 2,
		}},
		"services": []map[string]any{{"name": "huvo11a", "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false, "useShards": true, "warm": "3s", "grants": "direct"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	current.start(hostCount, zones, smallBounds)
	current.awaitReady()
	record.line("all %d hosts are ready", hostCount)

	var mutex sync.Mutex
	running := true
	counts := map[int]int{}
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
				time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(500*time.Millisecond)))
				id := fmt.Sprintf("%016x", rand.Uint64())
				key := rand.IntN(keyCount)
				record.line("client %d sends %s to %s, key %d", i, id, host.name, key)
				result := client.send("GET", "/status/2f", id, deadline, fmt.Sprintf("Shard-Key: %d\r\n", key), "")
				record.line("client %d has the answer to %s: %d %v", i, id, result.status, result.err)
				mutex.Lock()
				counts[result.status]++
				mutex.Unlock()
			}
		})
	}
	go func() {
		for isRunning() {
			holders.sample()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	time.Sleep(warmUp)
	for round := range rounds {
		old := servers[round]
		servers = append(servers, start(serverCount+round))
		time.Sleep(calm)
		if trouble {
			store.put("keyed.servers", fmt.Sprintf("agent-%04x", round), map[string]any{
				"address": old.address,
				"info":    map[string]any{"service": "audit77z", "version": "v1", "zone": old.zone, "slots": 1},
				"status":  map[string]any{"state": "ready", "seqNo": 1, "warmupLeft": "0ms"},
			})
			record.line("another writer's entry has the address of %s", old.id)
		}
		time.Sleep(ahead)
		old.drain()
		record.line("%s reports that it leaves", old.id)
		time.Sleep(servesOn)
		old.end()
		record.line("%s has ended", old.id)
		time.Sleep(calm)
	}
	mutex.Lock()
	running = false
	mutex.Unlock()
	clients.Wait()
	summary := fmt.Sprintf("requests by status: %v; keys given to a server while another was at work on them: %d; longest time for which a key had two holders: %s", counts, holders.atWork, holders.longest.Round(time.Millisecond))
	record.line("%s", summary)
	fmt.Println(summary)
	return holders.atWork > 0 || holders.long > 0
}
