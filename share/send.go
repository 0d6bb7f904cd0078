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
	// replyDuration is how long a host goes on reporting to a host that has reported to it.
	replyDuration = 2 * time.Second
)

// Run sends and receives messages until the context ends, and then closes the socket.
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

// lastSent remembers the last report and load that were sent, and when.
type lastSent struct {
	report   Report
	reportAt cherrykeel.Instant
	load     Load
	loadAt   cherrykeel.Instant
	// sumAt is when the sums were last exchanged with the other groups.
	sumAt cherrykeel.Instant
}

func (mesh *Mesh) sendReport(last *lastSent, now cherrykeel.Instant) {
	report := Report{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation, Term: -1}
	mesh.source.FillReport(&report)
	mesh.recordStoreAvailability(report.StoreAvailable)
	// Ages and final grants differ in each report, so they do not count as a change.
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
	report.splitEras()
	mesh.send(methodReport, report, mesh.reportReceivers(now))
}

// ReportStopped sends all hosts a last report, which marks this host as stopped. Without it each of them would log the
// host as unreachable, since its record stays while the store is unavailable.
func (mesh *Mesh) ReportStopped() {
	mesh.mutex.Lock()
	mesh.stopped = true
	names := mesh.peerNames()
	mesh.mutex.Unlock()
	mesh.sendReportTo(names)
}

// ReportNow sends all hosts a report at once.
func (mesh *Mesh) ReportNow() {
	mesh.mutex.Lock()
	names := mesh.peerNames()
	mesh.mutex.Unlock()
	mesh.sendReportTo(names)
}

// sendReportTo sends a report to the named hosts.
func (mesh *Mesh) sendReportTo(names []string) {
	report := Report{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation, Term: -1}
	mesh.source.FillReport(&report)
	report.Stopped = mesh.hasStopped()
	report.Sequence = mesh.nextSequence()
	report.splitEras()
	mesh.send(methodReport, report, names)
}

// hasStopped reports whether ReportStopped was called; reports that are sent after it must also mark this host as
// stopped.
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

// reportReceivers returns the hosts that get this host's reports: all hosts if it is a hub or the keeper; else the hubs
// and the keeper, which receive the reports of all hosts, and every host that reports to this one, since that host
// takes it for a hub or the keeper.
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

// loadReceivers records the load and returns the hosts that get it: all hosts in a full mesh, else the aggregator of
// this host's group.
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

// sendSum sends, if this host is its group's aggregator, the group's sum to its members. Less often it sends that sum
// to the other groups' aggregators, and the sum of all other groups to its members. With few groups these are sent as
// often as the group's own sum.
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
		// A datagram that cannot be sent is like a lost one: the receiver notices that no report arrives.
		_, _ = mesh.socket.WriteToUDP(data, address)
	}
}

// peerNames returns the names of all other hosts; Mesh.mutex is held.
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
