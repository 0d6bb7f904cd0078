package trial

import (
	"strconv"
	"time"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/fold"
	"cherrykeel/keeper"
	"cherrykeel/lease"
)

// orderTimeout is the time after which an order without an answer counts as failed.
const orderTimeout = 270 * time.Millisecond

// detectionTime is how long hosts take to agree, from their own traffic, that an upstream is down.
const detectionTime = 1500 * time.Millisecond

// Kill ends a process at once. It stays dead, unless it is an upstream that RestartUpstream restarts.
func (world *World) Kill(process *Process) {
	process.Dead = true
	for _, host := range world.Hosts {
		if &host.Process == process {
			host.diedAt = world.now
		}
	}
	for _, upstream := range world.Upstreams {
		if &upstream.Process == process {
			upstream.diedAt = world.now
		}
	}
}

// RestartUpstream starts an upstream again as a new process that owns nothing.
func (world *World) RestartUpstream(upstream *Upstream) {
	upstream.Dead = false
	// The new process's clock starts at one second.
	upstream.clockOffset = time.Second - time.Duration(float64(world.now)*upstream.clockRate)
	upstream.Ownership = fakes.NewOwnership(upstream.Name+" "+strconv.Itoa(world.Steps), Service)
}

// StartShutdown starts a host's graceful shutdown. The host ends once it is no longer the keeper.
func (world *World) StartShutdown(host *Host) {
	host.Leaving = true
	host.shutdownAt = world.now
	world.killAfterHandover(host)
}

// killAfterHandover kills a host once it is no longer the keeper.
func (world *World) killAfterHandover(host *Host) {
	world.scheduleOn(&host.Process, tickInterval, func() {
		if host.Keeper.HoldsRole() {
			world.killAfterHandover(host)
			return
		}
		world.Kill(&host.Process)
	})
}

// scheduleTick runs a host's keeper every tickInterval.
func (world *World) scheduleTick(host *Host) {
	world.scheduleOn(&host.Process, tickInterval, func() {
		world.runKeeper(host)
		world.scheduleTick(host)
	})
}

// runKeeper runs one step of a host's keeper and carries out its actions.
func (world *World) runKeeper(host *Host) {
	input := world.keeperInput(host)
	host.Witness.RecordRunning(input.Now)
	actions := host.Keeper.Tick(input)
	for _, order := range actions.Orders {
		world.sendOrder(host, order)
	}
	for _, name := range actions.RequestConfirmation {
		world.requestConfirmation(host, name, input.Ownership.Term)
	}
	for _, notice := range actions.TermNotices {
		world.sendTermNotice(host, notice)
	}
	for _, name := range actions.RequestSilence {
		world.requestSilence(host, name, input.Ownership.LeaseLength)
	}
	if actions.Claim != nil {
		record := world.newRecord(host)
		record.Claim = actions.Claim
		host.claimIDs[record.ID] = true
		world.appendToLog(host, record)
	}
	if actions.Assign != nil {
		record := world.newRecord(host)
		record.Assign = actions.Assign
		world.appendToLog(host, record)
	}
}

// settingsOf returns the service's settings with the timeout that a host has read.
func (world *World) settingsOf(host *Host) *cherrykeel.Service {
	if host.timeout == world.Settings.Timeout {
		return world.Settings
	}
	read := *world.Settings
	read.Timeout = host.timeout
	return &read
}

// SetTimeout changes the service's timeout. Each host reads the change after a delay, or later if the log is unreachable.
func (world *World) SetTimeout(timeout time.Duration, delay func(host *Host) time.Duration) {
	world.Settings.Timeout = timeout
	for _, host := range world.Hosts {
		world.scheduleTimeoutRead(host, timeout, delay(host))
	}
}

func (world *World) scheduleTimeoutRead(host *Host, timeout, delay time.Duration) {
	world.scheduleOn(&host.Process, delay, func() {
		if host.LogUnreachable || world.LogUnavailable {
			world.scheduleTimeoutRead(host, timeout, listDelay)
			return
		}
		host.timeout = timeout
	})
}

// keeperInput returns what a host's keeper can observe now. Changes to other hosts are seen after listDelay, and the
// failure of an upstream after detectionTime.
func (world *World) keeperInput(host *Host) keeper.Input {
	input := keeper.Input{
		Now:          world.local(&host.Process),
		Ownership:    host.State.Ownership[Service],
		Service:      world.settingsOf(host),
		RemovedHosts: map[string]bool{},
		Leaving:      host.Leaving,
		Draining:     map[string]bool{},
		Unreachable:  map[string]bool{},
		Demand:       world.Demand,
	}
	if host.claimIDs[input.Ownership.ClaimID] {
		input.ClaimedTerm = input.Ownership.Term
	}
	for _, other := range world.Hosts {
		switch {
		case other.Dead && world.now-other.diedAt > listDelay:
			input.RemovedHosts[other.Name] = world.now-other.diedAt > 10*time.Second+listDelay
		default:
			leaving := other.Leaving && (other == host || world.now-other.shutdownAt > listDelay)
			input.Hosts = append(input.Hosts, keeper.Host{Name: other.Name, Zone: other.Zone, Leaving: leaving})
		}
	}
	for _, upstream := range world.Upstreams {
		input.Draining[upstream.Name] = upstream.Draining
		input.Unreachable[upstream.Name] = upstream.Dead && world.now-upstream.diedAt > detectionTime
	}
	return input
}

func (world *World) hostByName(name string) *Host {
	for _, host := range world.Hosts {
		if host.Name == name {
			return host
		}
	}
	return nil
}

func (world *World) upstreamByName(name string) *Upstream {
	for _, upstream := range world.Upstreams {
		if upstream.Name == name {
			return upstream
		}
	}
	return nil
}

// sendOrder sends a keeper's order to its lessee, and the answer back.
func (world *World) sendOrder(host *Host, order lease.Order) {
	world.scheduleOn(&host.Process, orderTimeout, func() { host.Keeper.RecordFailure(order) })
	lessee, apply := world.lessee(order)
	if lessee == nil {
		return
	}
	world.send(&host.Process, lessee, func() {
		holding := apply()
		world.send(lessee, &host.Process, func() {
			host.Keeper.RecordAnswer(order, holding, world.local(&host.Process))
		})
	})
}

// lessee returns the process that an order is for, and a function that applies the order there.
func (world *World) lessee(order lease.Order) (*Process, func() cherrykeel.Holding) {
	if upstream := world.upstreamByName(order.Lessee); upstream != nil {
		return &upstream.Process, func() cherrykeel.Holding { return world.applyOrder(upstream, order) }
	}
	host := world.hostByName(order.Lessee)
	if host == nil {
		return nil, nil
	}
	return &host.Process, func() cherrykeel.Holding {
		if order.Query {
			return host.View.Holding(world.local(&host.Process))
		}
		return host.View.ApplyGrant(order.Grant, world.local(&host.Process))
	}
}

// applyOrder applies an order to an upstream, without the safeguard that the options disable.
func (world *World) applyOrder(upstream *Upstream, order lease.Order) cherrykeel.Holding {
	now := world.LocalTime(upstream)
	if order.Query {
		return upstream.Ownership.Holding(now)
	}
	grant := order.Grant
	switch world.Options.Disabled {
	case DisableDeadline:
		grant.Until = now + world.Options.LeaseLength
	case DisableFences:
		current := upstream.Ownership.Holding(now)
		if grant.Fence.Less(current.Fence) {
			grant.Fence = current.Fence
		}
	}
	return upstream.Ownership.Grant(grant, now)
}

// requestConfirmation requests the confirmation of a term from a witness, which may be the host itself.
func (world *World) requestConfirmation(host *Host, name string, term int64) {
	sent := world.local(&host.Process)
	witness := world.hostByName(name)
	if witness == nil {
		return
	}
	answer := func() bool {
		confirmed := witness.Witness.Confirm(Service, term, world.local(&witness.Process))
		return confirmed || world.Options.Disabled == DisableWitnesses
	}
	if witness == host {
		if answer() {
			host.Keeper.RecordConfirmation(name, term, sent)
		}
		return
	}
	world.send(&host.Process, &witness.Process, func() {
		if answer() {
			world.send(&witness.Process, &host.Process, func() { host.Keeper.RecordConfirmation(name, term, sent) })
		}
	})
}

// sendTermNotice sends a new term to a witness, which may be the host itself.
func (world *World) sendTermNotice(host *Host, notice keeper.TermNotice) {
	witness := world.hostByName(notice.Host)
	if witness == nil {
		return
	}
	onLearned := func() { host.Keeper.RecordTermLearned(notice, world.local(&host.Process)) }
	if witness == host {
		witness.Witness.RecordTerm(Service, notice.Term)
		onLearned()
		return
	}
	world.send(&host.Process, &witness.Process, func() {
		witness.Witness.RecordTerm(Service, notice.Term)
		world.send(&witness.Process, &host.Process, onLearned)
	})
}

// requestSilence requests from a witness how long it has not received a confirmation request for the service.
func (world *World) requestSilence(host *Host, name string, leaseLength time.Duration) {
	witness := world.hostByName(name)
	if witness == nil {
		return
	}
	world.send(&host.Process, &witness.Process, func() {
		silence := world.local(&witness.Process).Sub(witness.Witness.LastRequestAt(Service))
		world.send(&witness.Process, &host.Process, func() {
			host.Keeper.RecordSilence(name, silence, leaseLength, world.local(&host.Process))
		})
	})
}

func (world *World) newRecord(host *Host) fold.Record {
	world.lastSerial++
	return fold.Record{Format: fold.Format, ID: strconv.Itoa(world.lastSerial), Author: host.Name}
}

// appendToLog appends a record to the log after the network's delay, unless the log is unavailable then.
func (world *World) appendToLog(host *Host, record fold.Record) {
	delay, lost := world.Network(host.Name, "log")
	if lost || host.LogUnreachable {
		return
	}
	world.Schedule(world.now+world.Options.Latency+delay, func() {
		if world.LogUnavailable {
			return
		}
		data, err := fold.Encode(record)
		if err != nil {
			panic(err)
		}
		world.logRecords = append(world.logRecords, data)
	})
}

// scheduleLogRead has a host read the log repeatedly and apply new records, as far as the log is reachable.
func (world *World) scheduleLogRead(host *Host) {
	delay, lost := world.Network("log", host.Name)
	startedAt := world.local(&host.Process)
	next := len(world.logRecords)
	world.scheduleOn(&host.Process, world.Options.Latency+delay, func() {
		if !lost && !world.LogUnavailable && !host.LogUnreachable {
			world.foldUpTo(host, next)
			host.Witness.RecordCaughtUp(startedAt)
		}
		world.scheduleLogRead(host)
	})
}

// foldUpTo applies the log's records before an offset to a host's state, and its term to the host's witness.
func (world *World) foldUpTo(host *Host, next int) {
	for offset := int(host.State.Next); offset < next; offset++ {
		_, err := host.State.Apply(int64(offset), world.logRecords[offset])
		if err != nil {
			panic(err)
		}
	}
	host.Witness.RecordTerm(Service, host.State.Ownership[Service].Term)
}
