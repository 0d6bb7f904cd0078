package share

import (
	"context"
	"encoding/json"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// busyEvery is the pace of loads while some upstream is full or a request waits. A request takes 40 to
	// 900 ms at an upstream, so counts of 80 ms ago are wrong by few requests, which its own queue takes up.
	busyEvery = 80 * time.Millisecond
	// calmEvery is the pace while every upstream has free slots and the counts decide little. Sent at the
	// busy pace all day, loads made two thirds of the bytes between availability zones.
	calmEvery = 160 * time.Millisecond
	// reportEvery is the pace of reports, and of loads that do not change.
	reportEvery = 250 * time.Millisecond
	// fullPaceHosts is up to how many hosts keep these paces. Each host tells each other one, so the messages
	// grow with the square of the hosts; with more hosts each sends its loads as much less often, and its
	// reports at most reportSlowdown times, since a silent keeper has to be missed within a second.
	fullPaceHosts  = 12
	reportSlowdown = 2
	// staleAfter is when a silent host's counts are no longer believed.
	staleAfter = time.Second
	// maxDatagram bounds one message; demand beyond it is cut.
	maxDatagram = 60 << 10
	// lateMessages is by how many a load may lag behind a report of the same host.
	lateMessages = 100
)

// Heard is what a host told last.
type Heard struct {
	Report Report
	Load   Load
	At     cherrykeel.Instant
}

// State is what a host has to tell of itself.
type State interface {
	// Report fills in the slow part.
	Report(report *Report)
	// Load fills in the present work and reports whether it is so much that counts matter.
	Load(load *Load) bool
}

// Mesh exchanges reports with the other hosts.
type Mesh struct {
	self   cherrykeel.Peer
	clock  cherrykeel.Clock
	logger *zap.Logger
	state  State
	// changed is called after others' messages have come; demand takes a message for the keeper.
	changed func()
	demand  func(demand Demand)
	told    func(told Told)

	socket   *net.UDPConn
	mutex    sync.Mutex
	peers    map[string]cherrykeel.Peer
	resolved map[string]*net.UDPAddr
	heard    map[string]Heard
	silent   map[string]bool
	asked    map[string][]int
	sequence uint64
}

// New returns a mesh; changed, demand and told are called from its own goroutines.
func New(self cherrykeel.Peer, clock cherrykeel.Clock, logger *zap.Logger, state State, changed func(), demand func(Demand), told func(Told)) *Mesh {
	return &Mesh{
		self: self, clock: clock, logger: logger, state: state, changed: changed, demand: demand, told: told,
		peers: map[string]cherrykeel.Peer{}, resolved: map[string]*net.UDPAddr{},
		heard: map[string]Heard{}, silent: map[string]bool{}, asked: map[string][]int{},
	}
}

// Listen opens the socket.
func (mesh *Mesh) Listen() error {
	address, err := net.ResolveUDPAddr("udp", mesh.self.Inner)
	if err != nil {
		return errors.WithStack(err)
	}
	mesh.socket, err = net.ListenUDP("udp", address)
	return errors.WithStack(err)
}

// SetPeers replaces the hosts that are told and believed.
func (mesh *Mesh) SetPeers(peers []cherrykeel.Peer) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.peers = map[string]cherrykeel.Peer{}
	mesh.resolved = map[string]*net.UDPAddr{}
	for _, peer := range peers {
		if peer.Name == mesh.self.Name {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", peer.Inner)
		if err != nil {
			events.Log(mesh.logger, events.RecordInvalid, zap.String("Host", peer.Name), zap.Error(err))
			continue
		}
		mesh.peers[peer.Name] = peer
		mesh.resolved[peer.Name] = address
	}
	for name, heard := range mesh.heard {
		if mesh.peers[name].Life != heard.Report.Life {
			delete(mesh.heard, name)
		}
	}
}

// Run exchanges messages until the context ends.
func (mesh *Mesh) Run(ctx context.Context) {
	go mesh.receive()
	ticker := time.NewTicker(busyEvery)
	defer ticker.Stop()
	defer mesh.socket.Close()
	var sender sender
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := mesh.clock.Now()
		mesh.sendReport(&sender, now)
		mesh.sendLoad(&sender, now)
		mesh.noteSilence(now)
	}
}

// sender remembers what was sent last and when.
type sender struct {
	report   Report
	reportAt cherrykeel.Instant
	load     Load
	loadAt   cherrykeel.Instant
}

func (mesh *Mesh) sendReport(sender *sender, now cherrykeel.Instant) {
	report := Report{Host: mesh.self.Name, Life: mesh.self.Life, Term: -1}
	mesh.state.Report(&report)
	pace := min(mesh.slowed(reportEvery), reportSlowdown*reportEvery)
	if reflect.DeepEqual(report, sender.report) && now.Sub(sender.reportAt) < pace {
		return
	}
	sender.report = report
	sender.reportAt = now
	report.Sequence = mesh.nextSequence()
	mesh.broadcast(methodReport, report)
}

func (mesh *Mesh) sendLoad(sender *sender, now cherrykeel.Instant) {
	load := Load{Host: mesh.self.Name}
	pace := calmEvery
	if mesh.state.Load(&load) {
		pace = busyEvery
	}
	if reflect.DeepEqual(load, sender.load) {
		pace = reportEvery
	}
	if now.Sub(sender.loadAt)+busyEvery/2 < mesh.slowed(pace) {
		return
	}
	sender.load = load
	sender.loadAt = now
	load.Sequence = mesh.nextSequence()
	mesh.broadcast(methodLoad, load)
}

// slowed returns a pace for as many hosts as there are.
func (mesh *Mesh) slowed(pace time.Duration) time.Duration {
	return pace * time.Duration(max(fullPaceHosts, mesh.Known())) / fullPaceHosts
}

func (mesh *Mesh) nextSequence() uint64 {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.sequence++
	return mesh.sequence
}

func (mesh *Mesh) broadcast(method string, message any) {
	data, err := encode(method, message)
	if err != nil {
		events.Log(mesh.logger, events.MessageInvalid, zap.Error(err))
		return
	}
	mesh.sendAll(data)
}

func (mesh *Mesh) sendAll(data []byte) {
	mesh.mutex.Lock()
	addresses := make([]*net.UDPAddr, 0, len(mesh.resolved))
	for _, address := range mesh.resolved {
		addresses = append(addresses, address)
	}
	mesh.mutex.Unlock()
	for _, address := range addresses {
		// A datagram that cannot be sent is as one that is lost; its silence is noted at the other end.
		_, _ = mesh.socket.WriteToUDP(data, address)
	}
}

func (mesh *Mesh) receive() {
	buffer := make([]byte, 64<<10)
	for {
		count, _, err := mesh.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		err = mesh.take(buffer[:count])
		if err != nil {
			events.Log(mesh.logger, events.MessageInvalid, zap.Error(err))
		}
	}
}

func (mesh *Mesh) take(data []byte) error {
	method, params, err := decode(data)
	if err != nil {
		return err
	}
	switch method {
	case methodReport:
		var report Report
		err = json.Unmarshal(params, &report)
		if err == nil && mesh.note(report) {
			mesh.changed()
		}
	case methodLoad:
		var load Load
		err = json.Unmarshal(params, &load)
		if err == nil && mesh.noteLoad(load) {
			mesh.changed()
		}
	case methodTell:
		var told Told
		err = json.Unmarshal(params, &told)
		if err == nil {
			mesh.told(told)
		}
	case methodDemand:
		var demand Demand
		err = json.Unmarshal(params, &demand)
		if err == nil {
			mesh.demand(demand)
		}
	}
	return errors.WithStack(err)
}

// Tell passes records on to all other hosts; what is too large they read for themselves.
func (mesh *Mesh) Tell(topic string, records []cherrykeel.KeyedRecord, before int64) {
	if mesh.socket == nil {
		return
	}
	data, err := encode(methodTell, Told{Host: mesh.self.Name, Topic: topic, Records: records, Before: before})
	if err != nil {
		events.Log(mesh.logger, events.MessageInvalid, zap.Error(err))
		return
	}
	if len(data) <= maxDatagram {
		mesh.sendAll(data)
	}
}

// note keeps a report of a known host's present life.
func (mesh *Mesh) note(report Report) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, known := mesh.peers[report.Host]
	if !known || peer.Life != report.Life {
		return false
	}
	old, heard := mesh.heard[report.Host]
	if heard && old.Report.Sequence >= report.Sequence {
		return false
	}
	mesh.heard[report.Host] = Heard{Report: report, Load: old.Load, At: mesh.clock.Now()}
	if mesh.silent[report.Host] || !heard {
		delete(mesh.silent, report.Host)
		events.Log(mesh.logger, events.PeerHeard, zap.String("Host", report.Host), zap.Int64("Term", report.Term))
	}
	return true
}

// noteLoad keeps a host's load; its first message in a life is a report.
func (mesh *Mesh) noteLoad(load Load) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	old, heard := mesh.heard[load.Host]
	if !heard || old.Load.Sequence >= load.Sequence || old.Report.Sequence > load.Sequence+lateMessages {
		return false
	}
	mesh.heard[load.Host] = Heard{Report: old.Report, Load: load, At: old.At}
	return true
}

func (mesh *Mesh) noteSilence(now cherrykeel.Instant) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for name, heard := range mesh.heard {
		age := now.Sub(heard.At)
		if age < staleAfter || mesh.silent[name] {
			continue
		}
		mesh.silent[name] = true
		events.Log(mesh.logger, events.PeerSilent, zap.String("Host", name), zap.Duration("Age", age))
	}
}

// Reports returns what other hosts told within the given age.
func (mesh *Mesh) Reports(age time.Duration) []Heard {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	var fresh []Heard
	for _, heard := range mesh.heard {
		if now.Sub(heard.At) <= age {
			fresh = append(fresh, heard)
		}
	}
	return fresh
}

// Fresh returns the reports that are still believed.
func (mesh *Mesh) Fresh() []Heard {
	return mesh.Reports(staleAfter)
}

// Silence returns how long a host has not been heard; false if it never was in its present life.
func (mesh *Mesh) Silence(name string) (time.Duration, bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	heard, known := mesh.heard[name]
	if !known {
		return 0, false
	}
	return mesh.clock.Now().Sub(heard.At), true
}

// Known returns how many hosts there are, this one included.
func (mesh *Mesh) Known() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return len(mesh.peers) + 1
}
