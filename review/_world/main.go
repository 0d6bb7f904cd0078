// Command _world runs the scripts of this review: it starts entry hosts as the platform does, with stand-ins of the
// platform's store, of servers and of callers on loopback addresses, and checks one rule.
//
// Usage: review-world CASE PROGRAM RECORD, with TROUBLE=0 in the environment to leave the disruption out. It exits with
// 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of a small deployment's settings file.
const (
	heartbeat    = 870 * time.Millisecond
	drainBound   = 2 * time.Second
	stableWindow = 3 * time.Second
	recovery     = 15 * time.Second
	readyTimeout = 20 * time.Second
	// longest bounds a case; one that takes longer could not run.
	longest = 110 * time.Second
)

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// run is one run of a request at a server.
type run struct {
	server  *backend
	arrived time.Duration
}

// request is one request of a caller.
type request struct {
	id      string
	service string
	host    *host
	sentAt  time.Duration
	status  int
}

// world has the stand-ins and the processes of one case.
type world struct {
	trouble bool
	program string
	dir     string
	block   int
	started time.Time
	store   *platformStore
	hosts   []*host
	servers []*backend

	mutex    sync.Mutex
	record   *os.File
	requests map[string]*request
	runs     map[string][]run
	// onRun, if not nil, is called with each run.
	onRun func(id string, run run)
}

// now returns the time since the beginning of the case.
func (world *world) now() time.Duration {
	return time.Since(world.started)
}

// note writes a line to the record.
func (world *world) note(format string, values ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.write(format, values...)
}

// write writes a line to the record; the mutex is held.
func (world *world) write(format string, values ...any) {
	_, _ = fmt.Fprintf(world.record, "%8.3f "+format+"\n", append([]any{world.now().Seconds()}, values...)...)
}

func (world *world) recordRun(server *backend, id string, arrived time.Duration) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	ran := run{server: server, arrived: arrived}
	world.runs[id] = append(world.runs[id], ran)
	world.write("ran %s at %s (%s), arrived at %.3f", id, server.id, server.service, arrived.Seconds())
	if world.onRun != nil {
		world.onRun(id, ran)
	}
}

func main() {
	os.Exit(int(runCase()))
}

func runCase() verdict {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-world CASE PROGRAM RECORD")
		return notRun
	}
	cases := map[string]func(world *world) verdict{"late-beat": runLateBeat, "few-left": runFewLeft}
	chosen, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return notRun
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-world-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	world := &world{
		trouble: os.Getenv("TROUBLE") != "0", program: os.Args[2], dir: dir, started: time.Now(), record: record,
		store: newStore(), requests: map[string]*request{}, runs: map[string][]run{},
	}
	defer world.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	done := make(chan verdict, 1)
	go func() { done <- chosen(world) }()
	select {
	case result := <-done:
		world.note("verdict: %s", [...]string{"held", "broken", "could not run"}[result])
		return result
	case <-interrupted:
		return notRun
	case <-time.After(longest):
		fmt.Fprintln(os.Stderr, "could not run: it took longer than", longest)
		return notRun
	}
}

// close ends all processes and servers.
func (world *world) close() {
	for _, host := range world.hosts {
		host.end()
	}
	for _, server := range world.servers {
		server.end()
	}
}

// claimBlock finds loopback addresses that no other run uses.
func (world *world) claimBlock() bool {
	for range 100 {
		block := 64 + rand.IntN(180)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:8642", block))
		if err == nil {
			world.block = block
			_ = listener
			return true
		}
	}
	return false
}

// build starts the servers of some services, writes the first configuration and starts the hosts.
func (world *world) build(services []service, hosts int) error {
	if !world.claimBlock() {
		return fmt.Errorf("no free loopback addresses")
	}
	world.store.put("keyed.op", "config", newConfig(1, services))
	for _, service := range services {
		for range service.servers {
			number := len(world.servers)
			server := &backend{
				world: world, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service.name, zone: zones[number%len(zones)],
				address: fmt.Sprintf("127.%d.200.%d:8500", world.block, 1+number), keyed: service.keyed, work: service.work,
			}
			err := server.start()
			if err != nil {
				return err
			}
			world.servers = append(world.servers, server)
		}
	}
	for number := range hosts {
		err := world.addHost(number)
		if err != nil {
			return err
		}
	}
	return world.awaitReady(world.hosts)
}

// awaitReady waits until hosts are ready.
func (world *world) awaitReady(hosts []*host) error {
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		waiting := 0
		for _, host := range hosts {
			if !host.isReady() {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
	}
	return fmt.Errorf("hosts are not ready after %s", readyTimeout)
}

// awaitServed waits until a request to each service is served.
func (world *world) awaitServed(services []service) error {
	for _, service := range services {
		served := 0
		for limit := time.Now().Add(readyTimeout); served < 20; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not served", service.name)
			}
			if world.send(service, world.hosts).status == http.StatusOK {
				served++
			}
		}
	}
	return nil
}

// fail notes why a case could not run.
func (world *world) fail(err error) verdict {
	world.note("could not run: %v", err)
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return notRun
}

// countLines notes how many requests to each service were served of those sent in a span of time.
func (world *world) countServed(from, until time.Duration) (sent, served int) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	perService := map[string][2]int{}
	for _, request := range world.requests {
		if request.sentAt < from || request.sentAt >= until {
			continue
		}
		count := perService[request.service]
		count[0]++
		sent++
		if request.status == http.StatusOK {
			count[1]++
			served++
		}
		perService[request.service] = count
	}
	var parts []string
	for name, count := range perService {
		parts = append(parts, fmt.Sprintf("%s %d of %d", name, count[1], count[0]))
	}
	world.write("sent from %.1f to %.1f: served %d of %d (%s)", from.Seconds(), until.Seconds(), served, sent, strings.Join(parts, ", "))
	return sent, served
}
