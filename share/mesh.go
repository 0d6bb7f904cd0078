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
	// busyLoadInterval is the interval of loads while an upstream is full or a request waits, and of the main loop. A
	// request takes 40 to 900 ms at an upstream, so counts that are 80 ms old are wrong by few requests, which the
	// upstream's own queue absorbs.
	busyLoadInterval = 80 * time.Millisecond
	// quietLoadInterval is the interval of loads while every upstream has free slots and the counts affect few
	// decisions. Sent every busyLoadInterval all day, loads were two thirds of the bytes between availability zones.
	quietLoadInterval = 160 * time.Millisecond
	// reportInterval is the interval of reports, and of loads that do not change.
	reportInterval = 250 * time.Millisecond
	// reportSlowdown multiplies the interval of reports when the hosts are too many for a full mesh; it is small since
	// the loss of a keeper must be noticed within a second.
	reportSlowdown = 2
	// staleAfter is the age from which a host's reports and counts are not used any more.
	staleAfter = time.Second
	// maxDatagramBytes bounds the encoded size of an announcement; larger ones are not sent.
	maxDatagramBytes = 60 << 10
)

// ReceivedReport is the newest report of a host and when it was received on this host's clock.
type ReceivedReport struct {
	Report     Report
	ReceivedAt cherrykeel.Instant
}

// StateSource fills in this host's own state before it is sent.
type StateSource interface {
	// FillReport fills in the part that changes slowly.
	FillReport(report *Report)
	// FillLoad fills in the requests at upstreams and waiting, and reports whether an upstream is full or a request
	// waits.
	FillLoad(load *Load) bool
}

// Mesh exchanges state with the other hosts.
type Mesh struct {
	self   cherrykeel.Peer
	clock  cherrykeel.Clock
	logger *zap.Logger
	source StateSource
	// onReport is called after a report of another host was recorded, onCounts after a load or a sum. onDemand gets
	// demand for the keeper, onAnnouncement the records that another host announces.
	onReport       func()
	onCounts       func()
	onDemand       func(demand Demand)
	onAnnouncement func(announcement Announcement)
	permitHandler  PermitHandler
	// defaultEra returns the era of offsets in messages of hosts that know no eras.
	defaultEra func() int64

	socket   *net.UDPConn
	mutex    sync.Mutex
	peers    map[string]cherrykeel.Peer
	resolved map[string]*net.UDPAddr
	// reports has the newest report by host, unreachable the hosts that have been logged as unreachable.
	reports       map[string]ReceivedReport
	unreachable   map[string]bool
	requestedKeys map[string][]int
	sequence      uint64
	keeper        string
	// unknownSender is set when a host has reported that is not among the peers, or another incarnation of one.
	unknownSender bool
	// storeUnreachable is set while the store does not serve this host.
	storeUnreachable bool
	// stopped is set once this host has reported that it has stopped.
	stopped bool
	fleet   *topo.Fleet
	plan    topo.Plan
	// hubSince is when this host last began to receive the reports of all hosts.
	hubSince cherrykeel.Instant
	// lastRunAt is when the process last recorded that it runs; until discardUntil messages are dropped after a
	// suspension.
	lastRunAt    cherrykeel.Instant
	discardUntil cherrykeel.Instant
	// pauseStart and pauseEnd bound the last pause in which events may have happened that are noticed only now;
	// ranSincePause is how long the process has run since.
	pauseStart          cherrykeel.Instant
	pauseEnd            cherrykeel.Instant
	ranSincePause       time.Duration
	contacts            contacts
	loads               loads
	sentProcessingTimes map[string]sentProcessingTime
	demandSentAt        cherrykeel.Instant
}

// New returns a mesh; the callbacks are called from its own goroutines, and onDemand also from ReportDemand.
func New(self cherrykeel.Peer, clock cherrykeel.Clock, logger *zap.Logger, source StateSource, onReport, onCounts func(), onDemand func(Demand), onAnnouncement func(Announcement)) *Mesh {
	return &Mesh{
		self: self, clock: clock, logger: logger, source: source, onReport: onReport, onCounts: onCounts, onDemand: onDemand, onAnnouncement: onAnnouncement, permitHandler: noPermits{}, defaultEra: func() int64 { return 0 },
		peers: map[string]cherrykeel.Peer{}, resolved: map[string]*net.UDPAddr{},
		reports: map[string]ReceivedReport{}, unreachable: map[string]bool{}, requestedKeys: map[string][]int{},
		fleet: topo.NewFleet(self.Name, []cherrykeel.Peer{self}), plan: topo.Plan{FullMesh: true}, hubSince: clock.Now(), lastRunAt: clock.Now(), contacts: newContacts(), loads: newLoads(), sentProcessingTimes: map[string]sentProcessingTime{},
	}
}

// SetDefaultEra sets the function that returns the era of offsets in messages of hosts that know no eras. It must be called
// before Run.
func (mesh *Mesh) SetDefaultEra(defaultEra func() int64) {
	mesh.defaultEra = defaultEra
}

// Listen opens the socket on this host's internal address; its errors are those of net.
func (mesh *Mesh) Listen() error {
	address, err := net.ResolveUDPAddr("udp", mesh.self.InternalAddress)
	if err != nil {
		return errors.WithStack(err)
	}
	mesh.socket, err = net.ListenUDP("udp", address)
	return errors.WithStack(err)
}

// SetPeers replaces the hosts to which messages are sent and of which they are accepted.
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

// SetKeeper sets the host that is the keeper of spans; reports are sent to it from every host.
func (mesh *Mesh) SetKeeper(name string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.keeper = name
}

// replan decides again to which hosts to send; Mesh.mutex is held.
func (mesh *Mesh) replan() {
	now := mesh.clock.Now()
	before := mesh.plan
	mesh.plan = mesh.fleet.Plan(&liveness{mesh: mesh, now: now})
	if !mesh.receivesFromAll(before) && mesh.receivesFromAll(mesh.plan) {
		mesh.hubSince = now
	}
	if before.GroupLabel != mesh.plan.GroupLabel || before.Aggregator != mesh.plan.Aggregator {
		events.Log(mesh.logger, events.AggregatorChanged,
			zap.String("Group", mesh.plan.GroupLabel), zap.String("Head", mesh.plan.Aggregator), zap.Int("Members", len(mesh.plan.Group)),
			zap.Strings("Watchers", mesh.plan.Hubs), zap.Bool("Full", mesh.plan.FullMesh))
	}
}

// logUnreachable logs each host once whose last report has become stale, unless it has stopped.
func (mesh *Mesh) logUnreachable(now cherrykeel.Instant) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for name, received := range mesh.reports {
		age := now.Sub(received.ReceivedAt)
		if age < staleAfter || mesh.unreachable[name] || received.Report.Stopped {
			continue
		}
		mesh.unreachable[name] = true
		events.Log(mesh.logger, events.PeerUnreachable, zap.String("Host", name), zap.Duration("Age", age))
	}
}

// OtherCounts returns the sum of the fresh counts of all other hosts.
func (mesh *Mesh) OtherCounts() Counts {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.loads.otherHosts(mesh.plan, mesh.self.Name, mesh.clock.Now())
}

// Reports returns the reports of other hosts that were received within the given age.
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

// FreshReports returns the reports that are recent enough to use.
func (mesh *Mesh) FreshReports() []ReceivedReport {
	return mesh.Reports(staleAfter)
}

// TimeSinceReport returns how long ago a host's last report was received; false if its present incarnation has sent
// none.
func (mesh *Mesh) TimeSinceReport(name string) (time.Duration, bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	received, known := mesh.reports[name]
	if !known {
		return 0, false
	}
	return mesh.clock.Now().Sub(received.ReceivedAt), true
}

// receivesFromAll reports whether this host receives the reports of all hosts under a plan.
func (mesh *Mesh) receivesFromAll(plan topo.Plan) bool {
	return plan.FullMesh || plan.IsHub(mesh.self.Name)
}

// HubDuration returns for how long this host has received the reports of all hosts; 0 while it does not.
func (mesh *Mesh) HubDuration() time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if !mesh.receivesFromAll(mesh.plan) {
		return 0
	}
	return mesh.clock.Now().Sub(mesh.hubSince)
}

// Rank returns how many hosts come before this one in the order of hosts. It counts those that have a fresh report for
// which isCounted returns true. It calls isCounted with Mesh.mutex held, so isCounted must not call the mesh.
func (mesh *Mesh) Rank(isCounted func(report Report) bool) int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	own := mesh.plan.Rank(mesh.self.Name)
	rank := 0
	for name, received := range mesh.reports {
		if now.Sub(received.ReceivedAt) <= staleAfter && mesh.plan.Rank(name) < own && isCounted(received.Report) {
			rank++
		}
	}
	return rank
}

// Position returns this host's position in the order of all hosts, reachable or not, from 0.
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
