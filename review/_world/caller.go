package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// service is a service of the deployment with the one route to it.
type service struct {
	name     string
	route    string
	domain   string
	prefix   string
	method   string
	kind     string
	keyed    bool
	servers  int
	work     time.Duration
	timeout  time.Duration
	target   time.Duration
	priority int
	// perSecond is how many requests its callers send.
	perSecond float64
}

// newConfig returns the operator's configuration.
func newConfig(version int, services []service) map[string]any {
	var routes, listed []map[string]any
	for _, service := range services {
		routes = append(routes, map[string]any{
			"name": service.route, "host": service.domain, "pathPrefix": service.prefix, "kind": service.kind,
			"timeout": service.timeout.String(), "targetLatency": service.target.String(), "priority": service.priority,
			"service": service.name, "maxAttempts": 2,
		})
		entry := map[string]any{"name": service.name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}
		if service.keyed {
			entry["useShards"], entry["warm"], entry["grants"] = true, "5s", "direct"
		}
		listed = append(listed, entry)
	}
	return map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// callerClient opens a connection for each request, as callers may.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one request to one of the hosts, and returns it with its answer's status; 0 means that none came.
func (world *world) send(service service, hosts []*host) *request {
	chosen := hosts[rand.IntN(len(hosts))]
	sent := &request{id: fmt.Sprintf("%016x", rand.Uint64()), service: service.name, host: chosen, sentAt: world.now()}
	world.mutex.Lock()
	world.requests[sent.id] = sent
	world.write("sent %s (%s) to %s", sent.id, service.route, chosen.name)
	world.mutex.Unlock()
	status := world.exchange(service, chosen, sent.id)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	sent.status = status
	world.write("answered %s: %d", sent.id, status)
	return sent
}

func (world *world) exchange(service service, chosen *host, id string) int {
	var body io.Reader
	if service.method != http.MethodGet {
		body = strings.NewReader("{}")
	}
	call, err := http.NewRequest(service.method, fmt.Sprintf("http://%s:%d%s2f", chosen.ip, frontPort, service.prefix), body)
	if err != nil {
		return 0
	}
	call.Host = service.domain
	call.Header.Set("Request-Id", id)
	call.Header.Set("Deadline-Ms", strconv.FormatInt(service.timeout.Milliseconds(), 10))
	if service.keyed {
		call.Header.Set("Shard-Key", strconv.Itoa(rand.IntN(65536)))
	}
	client := *callerClient
	client.Timeout = service.timeout + 500*time.Millisecond
	response, err := client.Do(call)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// startCallers sends requests to each service, to the hosts that the function returns, until the channel is closed; the
// returned function waits for the last answers.
func (world *world) startCallers(services []service, hosts func() []*host, stop <-chan struct{}) (wait func()) {
	var calls sync.WaitGroup
	for _, service := range services {
		if service.perSecond == 0 {
			continue
		}
		calls.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / service.perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					chosen := hosts()
					calls.Go(func() { world.send(service, chosen) })
				}
			}
		})
	}
	return calls.Wait
}
