package share

import (
	"context"
	"net"
	"reflect"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/topo"
)

const (
	// replyFor is how long a host goes on reporting to one that has reported to it.
	replyDuration = 2 * time.Second
)

// Run exchanges messages until the context ends.
func (mesh *Mesh) Run(ctx context.Context) {
	go mesh.receive()
	ticker := time.NewTicker(busyLoadInterval)
	defer ticker.Stop()
	defer mesh.socket.Close()
	var last lastSent
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := mesh.clock.Now()
		mesh.canDateReads(now)
		mesh.mutex.Lock()
		mesh.replan()
		mesh.mutex.Unlock()
		mesh.sendReport(&last, now)
		mesh.sendLoad(&last, now)
		mesh.sendSum(&last, now)
		mesh.logUnreachable(now)
	}
}

// sender remembers what was sent last and when.
type lastSent struct {
	report   Report
	reportAt cherrykeel.Instant
	load     Load
	loadAt   cherrykeel.Instant
	// sumAt is when the other groups' heads were told.
	sumAt cherrykeel.Instant
}

func (mesh *Mesh) sendReport(last *lastSent, now cherrykeel.Instant) {
	report := Report{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation, Term: -1}
	mesh.source.FillReport(&report)
	mesh.recordStoreAvailability(report.StoreAvailable)
	// Times are other ones in each report; that alone is no change to tell of.
	ages, finalGrants := report.Ages, report.FinalGrants
	report.Ages, report.FinalGrants = nil, nil
	interval := reportInterval
	if !mesh.currentPlan().FullMesh {
		interval *= reportSlowdown
	}
	if reflect.DeepEqual(report, last.report) && now.Sub(last.reportAt) < interval {
		return
	}
	last.report = report
	last.reportAt = now
	report.Sequence = mesh.nextSequence()
	report.Ages, report.FinalGrants, report.Stopped = ages, finalGrants, mesh.hasStopped()
	mesh.send(methodReport, report, mesh.reportReceivers(now))
}

// ReportStopped reports to all hosts once more, whatever was reported before, and says that this host has ended. Each of them
// would else warn of its silence: its record stays while the store is away.
func (mesh *Mesh) ReportStopped() {
	mesh.mutex.Lock()
	mesh.stopped = true
	names := mesh.peerNames()
	mesh.mutex.Unlock()
	report := Report{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation, Term: -1, Stopped: true}
	mesh.source.FillReport(&report)
	report.Sequence = mesh.nextSequence()
	mesh.send(methodReport, report, names)
}

// hasEnded reports whether this host has reported its end; a report that is sent still must not take that back.
func (mesh *Mesh) hasStopped() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.stopped
}

func (mesh *Mesh) recordStoreAvailability(available bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.storeUnreachable = !available
}

// reportTo returns who hears this host's reports: the watchers and the keeper, who hear from all; whoever
// reports to this host, since it takes it for one of them; and all hosts if it is one.
func (mesh *Mesh) reportReceivers(now cherrykeel.Instant) []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	plan := mesh.plan
	if plan.FullMesh || plan.IsHub(mesh.self.Name) || mesh.keeper == mesh.self.Name {
		return mesh.peerNames()
	}
	receivers := map[string]bool{mesh.keeper: true}
	for _, name := range plan.Hubs {
		receivers[name] = true
		mesh.contacts.expectMessage(name, now)
	}
	for name, received := range mesh.reports {
		if now.Sub(received.ReceivedAt) < replyDuration {
			receivers[name] = true
		}
	}
	return hostNames(receivers)
}

func (mesh *Mesh) sendLoad(last *lastSent, now cherrykeel.Instant) {
	load := Load{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation}
	interval := quietLoadInterval
	if mesh.source.FillLoad(&load) {
		interval = busyLoadInterval
	}
	if reflect.DeepEqual(load, last.load) {
		interval = reportInterval
	}
	if now.Sub(last.loadAt)+busyLoadInterval/2 < interval {
		return
	}
	last.load = load
	last.loadAt = now
	load.Sequence = mesh.nextSequence()
	mesh.send(methodLoad, load, mesh.loadReceivers(load, now))
}

// loadTo returns who hears this host's load: all hosts while they are few, else the head of its group.
func (mesh *Mesh) loadReceivers(load Load, now cherrykeel.Instant) []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.loads.recordOwn(load, now)
	if mesh.plan.FullMesh {
		return mesh.peerNames()
	}
	if mesh.plan.Aggregator == mesh.self.Name {
		return nil
	}
	mesh.contacts.expectMessage(mesh.plan.Aggregator, now)
	return []string{mesh.plan.Aggregator}
}

// sendSum tells the members of this host's group what the group does, and less often what all other groups
// do; and the other groups' heads what this one does. Few groups tell each other as often as each tells its own.
func (mesh *Mesh) sendSum(last *lastSent, now cherrykeel.Instant) {
	mesh.mutex.Lock()
	plan := mesh.plan
	if plan.FullMesh || plan.Aggregator != mesh.self.Name {
		mesh.mutex.Unlock()
		return
	}
	sum := mesh.loads.groupSum(plan, mesh.self, now)
	others := Sum{Host: sum.Host, Incarnation: sum.Incarnation, Group: otherGroupsLabel(plan.GroupLabel), Counts: mesh.loads.otherGroups(plan, now)}
	aggregators := map[string]bool{}
	for _, name := range plan.Aggregators {
		aggregators[name] = true
		mesh.contacts.expectMessage(name, now)
	}
	for name := range mesh.loads.freshAggregators(now) {
		aggregators[name] = true
	}
	mesh.mutex.Unlock()
	sum.Sequence = mesh.nextSequence()
	mesh.send(methodSum, sum, plan.Group)
	if now.Sub(last.sumAt)+busyLoadInterval/2 < time.Duration(plan.SumTicks())*busyLoadInterval {
		return
	}
	last.sumAt = now
	sum.IncludedSequences = nil
	mesh.send(methodSum, sum, hostNames(aggregators))
	others.Sequence = mesh.nextSequence()
	mesh.send(methodSum, others, plan.Group)
}

func (mesh *Mesh) nextSequence() uint64 {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.sequence++
	return mesh.sequence
}

// send encodes a message once and sends it to each of the named hosts that is known.
func (mesh *Mesh) send(method string, message any, names []string) {
	if len(names) == 0 {
		return
	}
	data, err := encode(method, message)
	if err != nil {
		events.Log(mesh.logger, events.MessageInvalid, zap.Error(err))
		return
	}
	mesh.sendData(data, names)
}

func (mesh *Mesh) sendData(data []byte, names []string) {
	mesh.mutex.Lock()
	addresses := make([]*net.UDPAddr, 0, len(names))
	for _, name := range names {
		address, known := mesh.resolved[name]
		if known {
			addresses = append(addresses, address)
		}
	}
	mesh.mutex.Unlock()
	for _, address := range addresses {
		// A datagram that cannot be sent is as one that is lost; its silence is noted at the other end.
		_, _ = mesh.socket.WriteToUDP(data, address)
	}
}

// names returns all other hosts; Mesh.mutex is held.
func (mesh *Mesh) peerNames() []string {
	names := make([]string, 0, len(mesh.peers))
	for name := range mesh.peers {
		names = append(names, name)
	}
	return names
}

func (mesh *Mesh) currentPlan() topo.Plan {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.plan
}

func hostNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	return names
}
