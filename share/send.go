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
	replyFor = 2 * time.Second
)

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
		mesh.awake(now)
		mesh.mutex.Lock()
		mesh.replan()
		mesh.mutex.Unlock()
		mesh.sendReport(&sender, now)
		mesh.sendLoad(&sender, now)
		mesh.sendSum(&sender, now)
		mesh.noteSilence(now)
	}
}

// sender remembers what was sent last and when.
type sender struct {
	report   Report
	reportAt cherrykeel.Instant
	load     Load
	loadAt   cherrykeel.Instant
	// sumAt is when the other groups' heads were told.
	sumAt cherrykeel.Instant
}

func (mesh *Mesh) sendReport(sender *sender, now cherrykeel.Instant) {
	report := Report{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation, Term: -1}
	mesh.state.FillReport(&report)
	mesh.noteStore(report.StoreAvailable)
	// Times are other ones in each report; that alone is no change to tell of.
	ages, finals := report.Ages, report.FinalGrants
	report.Ages, report.FinalGrants = nil, nil
	pace := reportEvery
	if !mesh.currentPlan().FullMesh {
		pace *= reportSlowdown
	}
	if reflect.DeepEqual(report, sender.report) && now.Sub(sender.reportAt) < pace {
		return
	}
	sender.report = report
	sender.reportAt = now
	report.Sequence = mesh.nextSequence()
	report.Ages, report.FinalGrants, report.Stopped = ages, finals, mesh.hasEnded()
	mesh.send(methodReport, report, mesh.reportTo(now))
}

// ReportStopped reports to all hosts once more, whatever was reported before, and says that this host has ended. Each of them
// would else warn of its silence: its record stays while the store is away.
func (mesh *Mesh) ReportStopped() {
	mesh.mutex.Lock()
	mesh.ended = true
	names := mesh.names()
	mesh.mutex.Unlock()
	report := Report{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation, Term: -1, Stopped: true}
	mesh.state.FillReport(&report)
	report.Sequence = mesh.nextSequence()
	mesh.send(methodReport, report, names)
}

// hasEnded reports whether this host has reported its end; a report that is sent still must not take that back.
func (mesh *Mesh) hasEnded() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.ended
}

func (mesh *Mesh) noteStore(well bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.storeless = !well
}

// reportTo returns who hears this host's reports: the watchers and the keeper, who hear from all; whoever
// reports to this host, since it takes it for one of them; and all hosts if it is one.
func (mesh *Mesh) reportTo(now cherrykeel.Instant) []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	plan := mesh.plan
	if plan.FullMesh || plan.IsHub(mesh.self.Name) || mesh.keeper == mesh.self.Name {
		return mesh.names()
	}
	to := map[string]bool{mesh.keeper: true}
	for _, name := range plan.Hubs {
		to[name] = true
		mesh.spoken.expect(name, now)
	}
	for name, heard := range mesh.heard {
		if now.Sub(heard.ReceivedAt) < replyFor {
			to[name] = true
		}
	}
	return keys(to)
}

func (mesh *Mesh) sendLoad(sender *sender, now cherrykeel.Instant) {
	load := Load{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation}
	pace := calmEvery
	if mesh.state.FillLoad(&load) {
		pace = busyEvery
	}
	if reflect.DeepEqual(load, sender.load) {
		pace = reportEvery
	}
	if now.Sub(sender.loadAt)+busyEvery/2 < pace {
		return
	}
	sender.load = load
	sender.loadAt = now
	load.Sequence = mesh.nextSequence()
	mesh.send(methodLoad, load, mesh.loadTo(load, now))
}

// loadTo returns who hears this host's load: all hosts while they are few, else the head of its group.
func (mesh *Mesh) loadTo(load Load, now cherrykeel.Instant) []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.loads.sent(load, now)
	if mesh.plan.FullMesh {
		return mesh.names()
	}
	if mesh.plan.Aggregator == mesh.self.Name {
		return nil
	}
	mesh.spoken.expect(mesh.plan.Aggregator, now)
	return []string{mesh.plan.Aggregator}
}

// sendSum tells the members of this host's group what the group does, and less often what all other groups
// do; and the other groups' heads what this one does. Few groups tell each other as often as each tells its own.
func (mesh *Mesh) sendSum(sender *sender, now cherrykeel.Instant) {
	mesh.mutex.Lock()
	plan := mesh.plan
	if plan.FullMesh || plan.Aggregator != mesh.self.Name {
		mesh.mutex.Unlock()
		return
	}
	sum := mesh.loads.sum(plan, mesh.self, now)
	rest := Sum{Host: sum.Host, Incarnation: sum.Incarnation, Group: restOf(plan.GroupLabel), Counts: mesh.loads.rest(plan, now)}
	heads := map[string]bool{}
	for _, name := range plan.Aggregators {
		heads[name] = true
		mesh.spoken.expect(name, now)
	}
	for name := range mesh.loads.heads(now) {
		heads[name] = true
	}
	mesh.mutex.Unlock()
	sum.Sequence = mesh.nextSequence()
	mesh.send(methodSum, sum, plan.Group)
	if now.Sub(sender.sumAt)+busyEvery/2 < time.Duration(plan.SumTicks())*busyEvery {
		return
	}
	sender.sumAt = now
	sum.IncludedSequences = nil
	mesh.send(methodSum, sum, keys(heads))
	rest.Sequence = mesh.nextSequence()
	mesh.send(methodSum, rest, plan.Group)
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
func (mesh *Mesh) names() []string {
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

func keys(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	return names
}
