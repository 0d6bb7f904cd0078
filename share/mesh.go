package share

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/topo"
)

const (
	// busyEvery is the pace of loads while some upstream is full or a request waits. A request takes 40 to
	// 900 ms at an upstream, so counts of 80 ms ago are wrong by few requests, which its own queue takes up.
	busyLoadInterval = 80 * time.Millisecond
	// calmEvery is the pace while every upstream has free slots and the counts decide little. Sent at the
	// busy pace all day, loads made two thirds of the bytes between availability zones.
	quietLoadInterval = 160 * time.Millisecond
	// reportEvery is the pace of reports, and of loads that do not change.
	reportInterval = 250 * time.Millisecond
	// reportSlowdown is by how much reports are slower once not every host tells every other; a silent keeper
	// has to be missed within a second.
	reportSlowdown = 2
	// staleAfter is when a silent host's counts are no longer believed.
	staleAfter = time.Second
	// maxDatagram bounds one message; demand beyond it is cut.
	maxDatagramBytes = 60 << 10
)

// ReceivedReport is what a host told last.
type ReceivedReport struct {
	Report     Report
	ReceivedAt cherrykeel.Instant
}

// StateSource is what a host has to tell of itself.
type StateSource interface {
	// FillReport fills in the slow part.
	FillReport(report *Report)
	// FillLoad fills in the present work and reports whether it is so much that counts matter.
	FillLoad(load *Load) bool
}

// Mesh exchanges reports with the other hosts.
type Mesh struct {
	self   cherrykeel.Peer
	clock  cherrykeel.Clock
	logger *zap.Logger
	source StateSource
	// reported is called after others' reports have come, and counted after their loads; demand takes a
	// message for the keeper.
	onReport       func()
	onCounts       func()
	onDemand       func(demand Demand)
	onAnnouncement func(announcement Announcement)

	socket   *net.UDPConn
	mutex    sync.Mutex
	peers    map[string]cherrykeel.Peer
	resolved map[string]*net.UDPAddr
	reports       map[string]ReceivedReport
	unreachable   map[string]bool
	requestedKeys map[string][]int
	sequence      uint64
	keeper        string
	// unknown says that a host has reported that is not among the peers.
	unknownSender bool
	// storeless says that the store does not serve this host.
	storeUnreachable bool
	// ended says that this host has reported its end.
	stopped bool
	fleet   *topo.Fleet
	plan    topo.Plan
	// watchingSince is when this host last became one that hears from all.
	hubSince cherrykeel.Instant
	// awakeAt is when the process was last seen to run, undatedUntil ends what is dropped after a suspension.
	lastRunAt    cherrykeel.Instant
	discardUntil cherrykeel.Instant
	// pausedAt and wokeAt are the ends of the pause in which what is noticed now may have come, ran is how long the process
	// ran since.
	pauseStart          cherrykeel.Instant
	pauseEnd            cherrykeel.Instant
	ranSincePause       time.Duration
	contacts            contacts
	loads               loads
	sentProcessingTimes map[string]sentProcessingTime
	demandSentAt        cherrykeel.Instant
}

// New returns a mesh; reported, counted, demand and told are called from its own goroutines.
func New(self cherrykeel.Peer, clock cherrykeel.Clock, logger *zap.Logger, source StateSource, onReport, onCounts func(), onDemand func(Demand), onAnnouncement func(Announcement)) *Mesh {
	return &Mesh{
		self: self, clock: clock, logger: logger, source: source, onReport: onReport, onCounts: onCounts, onDemand: onDemand, onAnnouncement: onAnnouncement,
		peers: map[string]cherrykeel.Peer{}, resolved: map[string]*net.UDPAddr{},
		reports: map[string]ReceivedReport{}, unreachable: map[string]bool{}, requestedKeys: map[string][]int{},
		fleet: topo.NewFleet(self.Name, []cherrykeel.Peer{self}), plan: topo.Plan{FullMesh: true}, hubSince: clock.Now(), lastRunAt: clock.Now(), contacts: newContacts(), loads: newLoads(), sentProcessingTimes: map[string]sentProcessingTime{},
	}
}

// Listen opens the socket.
func (mesh *Mesh) Listen() error {
	address, err := net.ResolveUDPAddr("udp", mesh.self.InternalAddress)
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
		address, err := net.ResolveUDPAddr("udp", peer.InternalAddress)
		if err != nil {
			events.Log(mesh.logger, events.RecordInvalid, zap.String("Host", peer.Name), zap.Error(err))
			continue
		}
		mesh.peers[peer.Name] = peer
		mesh.resolved[peer.Name] = address
	}
	for name, received := range mesh.reports {
		if mesh.peers[name].Incarnation != received.Report.Incarnation {
			delete(mesh.reports, name)
			mesh.contacts.forget(name)
		}
	}
	mesh.loads.retain(mesh.peers)
	hosts := []cherrykeel.Peer{mesh.self}
	for _, peer := range mesh.peers {
		hosts = append(hosts, peer)
	}
	mesh.fleet = topo.NewFleet(mesh.self.Name, hosts)
	mesh.replan()
}

// SetKeeper tells who keeps the spans: reports go there, from wherever they come.
func (mesh *Mesh) SetKeeper(name string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.keeper = name
}

// replan decides anew to whom to send; Mesh.mutex is held.
func (mesh *Mesh) replan() {
	now := mesh.clock.Now()
	before := mesh.plan
	mesh.plan = mesh.fleet.Plan(&liveness{mesh: mesh, now: now})
	if !mesh.receivesFromAll(before) && mesh.receivesFromAll(mesh.plan) {
		mesh.hubSince = now
	}
	if before.GroupLabel != mesh.plan.GroupLabel || before.Aggregator != mesh.plan.Aggregator {
		events.Log(mesh.logger, events.GroupChanged,
			zap.String("Group", mesh.plan.GroupLabel), zap.String("Head", mesh.plan.Aggregator), zap.Int("Members", len(mesh.plan.Group)),
			zap.Strings("Watchers", mesh.plan.Hubs), zap.Bool("Full", mesh.plan.FullMesh))
	}
}

func (mesh *Mesh) logUnreachable(now cherrykeel.Instant) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for name, received := range mesh.reports {
		age := now.Sub(received.ReceivedAt)
		if age < staleAfter || mesh.unreachable[name] || received.Report.Stopped {
			continue
		}
		mesh.unreachable[name] = true
		events.Log(mesh.logger, events.PeerSilent, zap.String("Host", name), zap.Duration("Age", age))
	}
}

// OtherCounts adds up what all other hosts do, as far as they told lately.
func (mesh *Mesh) OtherCounts() Counts {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.loads.otherHosts(mesh.plan, mesh.self.Name, mesh.clock.Now())
}

// Reports returns what other hosts told within the given age.
func (mesh *Mesh) Reports(age time.Duration) []ReceivedReport {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	var fresh []ReceivedReport
	for _, received := range mesh.reports {
		if now.Sub(received.ReceivedAt) <= age {
			fresh = append(fresh, received)
		}
	}
	return fresh
}

// FreshReports returns the reports that are still believed.
func (mesh *Mesh) FreshReports() []ReceivedReport {
	return mesh.Reports(staleAfter)
}

// TimeSinceReport returns how long a host has not been heard; false if it never was in its present life.
func (mesh *Mesh) TimeSinceReport(name string) (time.Duration, bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	received, known := mesh.reports[name]
	if !known {
		return 0, false
	}
	return mesh.clock.Now().Sub(received.ReceivedAt), true
}

// watches reports whether this host hears from all others under a plan.
func (mesh *Mesh) receivesFromAll(plan topo.Plan) bool {
	return plan.FullMesh || plan.IsHub(mesh.self.Name)
}

// HubDuration returns how long this host has heard from all others; 0 while it does not.
func (mesh *Mesh) HubDuration() time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if !mesh.receivesFromAll(mesh.plan) {
		return 0
	}
	return mesh.clock.Now().Sub(mesh.hubSince)
}

// Rank returns this host's place among those that are believed and that count, from 0; counts must not ask the mesh.
func (mesh *Mesh) Rank(counts func(report Report) bool) int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	own := mesh.plan.Rank(mesh.self.Name)
	rank := 0
	for name, received := range mesh.reports {
		if now.Sub(received.ReceivedAt) <= staleAfter && mesh.plan.Rank(name) < own && counts(received.Report) {
			rank++
		}
	}
	return rank
}

// Position returns this host's place in the order of all hosts, heard or not, from 0.
func (mesh *Mesh) Position() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.plan.Rank(mesh.self.Name)
}

// HostCount returns how many hosts there are, this one included.
func (mesh *Mesh) HostCount() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return len(mesh.peers) + 1
}
