package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort    = 8641
	readyPort    = 8640
	internalPort = 7620
	metricsPort  = 9464
)

// fleet holds the entry hosts of a case, each with an address of its own on loopback.
type fleet struct {
	folder  string
	program string
	store   *store
	mutex   sync.Mutex
	hosts   []*host
}

// host is one entry host.
type host struct {
	name, ip, path   string
	frontAt, readyAt string
	// prefix is put before the command, such as taskset.
	prefix  []string
	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func newFleet(store *store) *fleet {
	folder, err := os.MkdirTemp("", "review-")
	cannotRun(err)
	program, err := filepath.Abs("target/cherrykeel")
	cannotRun(err)
	return &fleet{folder: folder, program: program, store: store}
}

// freeBlock returns the first three parts of a block of loopback addresses whose ports are free.
func freeBlock(count int) string {
	for range 100 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for i := range count {
			for _, port := range []int{frontPort, readyPort, internalPort, metricsPort} {
				listener, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("%s.%d", block, i+1), fmt.Sprint(port)))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return block
		}
	}
	cannotRun(fmt.Errorf("no free block of loopback addresses"))
	return ""
}

// start starts hosts; zones are given to them in turn.
func (fleet *fleet) start(count int, zones []string, bounds map[string]any) {
	block := freeBlock(count)
	for i := range count {
		host := &host{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), ip: fmt.Sprintf("%s.%d", block, i+1)}
		fleet.add(host, zones[i%len(zones)], frontPort, readyPort, internalPort, bounds)
	}
}

// startAlone starts a host at 127.0.0.1 that has a processor for itself.
func (fleet *fleet) startAlone(name, zone string, bounds map[string]any) *host {
	metrics, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", metricsPort))
	cannotRun(err)
	var ports [3]int
	var taken []net.Listener
	for i := range ports {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		cannotRun(err)
		taken = append(taken, listener)
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	for _, listener := range append(taken, metrics) {
		_ = listener.Close()
	}
	host := &host{name: name, ip: "127.0.0.1", prefix: []string{"taskset", "-c", fmt.Sprint(cutCPU)}}
	fleet.add(host, zone, ports[0], ports[1], ports[2], bounds)
	return host
}

// add writes a host's settings and starts it.
func (fleet *fleet) add(host *host, zone string, front, ready, internal int, bounds map[string]any) {
	host.path = filepath.Join(fleet.folder, host.name+".json")
	host.frontAt, host.readyAt = net.JoinHostPort(host.ip, fmt.Sprint(front)), net.JoinHostPort(host.ip, fmt.Sprint(ready))
	settings := map[string]any{
		"nodeName": host.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": host.ip, "zone": zone, "region": "hobart",
		"listen":        map[string]string{"front": host.frontAt, "ready": host.readyAt},
		"internalPorts": []int{internal, internal + 15}, "seeds": []string{}, "bootstrap": true,
		"limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"entry":  "vip", "heartbeat": "1500ms", "discovery": "platform", "grants": "direct", "bounds": bounds,
		"platform": map[string]any{"address": fleet.store.address, "form": "log", "writesPerS": 400, "readsPerS": 2000},
	}
	data, err := json.Marshal(settings)
	cannotRun(err)
	cannotRun(os.WriteFile(host.path, data, 0o600))
	fleet.hosts = append(fleet.hosts, host)
	fleet.run(host)
}

// run starts a host's process.
func (fleet *fleet) run(host *host) {
	output, err := os.OpenFile(filepath.Join(fleet.folder, host.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	cannotRun(err)
	words := append(append([]string{}, host.prefix...), fleet.program, "entry")
	command := exec.Command(words[0], words[1:]...)
	command.Env = append(os.Environ(), "CHERRYKEEL_CONFIG="+host.path)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	host.mutex.Lock()
	defer host.mutex.Unlock()
	cannotRun(command.Start())
	host.process = command
	ended := make(chan struct{})
	host.ended = ended
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
}

// kill ends a host's process and starts it again after a short delay.
func (fleet *fleet) kill(host *host) {
	host.signal(syscall.SIGKILL)
	host.mutex.Lock()
	ended := host.ended
	host.mutex.Unlock()
	<-ended
	time.Sleep(500 * time.Millisecond)
	fleet.run(host)
}

// signal sends a signal to the host's process.
func (host *host) signal(signal syscall.Signal) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	_ = host.process.Process.Signal(signal)
}

func (host *host) front() string {
	return host.frontAt
}

// awaitReady waits until all hosts say that they are ready.
func (fleet *fleet) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for _, host := range fleet.hosts {
		until := time.Now().Add(15 * time.Second)
		for {
			response, err := client.Get("http://" + host.readyAt + "/-/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				cannotRun(fmt.Errorf("%s is not ready", host.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// end ends all processes and removes the folder.
func (fleet *fleet) end() {
	for _, host := range fleet.hosts {
		host.signal(syscall.SIGCONT)
		host.signal(syscall.SIGKILL)
		<-host.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	} else {
		fmt.Println("kept:", fleet.folder)
	}
}
