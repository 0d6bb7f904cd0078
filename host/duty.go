package host

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/demand"
	"cherrykeel/events"
	"cherrykeel/fold"
	"cherrykeel/keeper"
	"cherrykeel/lease"
	"cherrykeel/route"
)

const (
	tickInterval   = 20 * time.Millisecond
	proposeTimeout = 2 * time.Second
	// idleTickInterval is the number of ticks between two decisions on a service in which this host has no role.
	idleTickInterval = 25
	// orderTimeoutShare is the fraction of a lease that an order may take before it counts as failed.
	orderTimeoutShare = 0.3
)

// coordinator handles this host's roles in the ownership of keys: its keepers and its witness.
type coordinator struct {
	host          *Host
	mutex         sync.Mutex
	state         *fold.State
	witness       *lease.Witness
	keepers       map[string]*keeper.Keeper
	demandMergers map[string]*demand.Merger
	overlays      map[string]keeper.Overlay
	// ownClaims are the IDs of the claims that this process has proposed.
	ownClaims map[string]bool
	// unavailable are the upstreams that this host's keepers consider unavailable, by service.
	unavailable map[string]map[string]bool
	// ticks counts the calls of tick; only the goroutine that calls tick uses it.
	ticks int
}

func newCoordinator(host *Host) *coordinator {
	return &coordinator{
		host:          host,
		state:         fold.NewState(),
		witness:       lease.NewWitness(host.clock.Now()),
		keepers:       map[string]*keeper.Keeper{},
		demandMergers: map[string]*demand.Merger{},
		overlays:      map[string]keeper.Overlay{},
		ownClaims:     map[string]bool{},
		unavailable:   map[string]map[string]bool{},
	}
}

func partitionOf(service *cherrykeel.Service) func(string) int {
	return func(key string) int {
		return route.Partition(key, service.Partitions)
	}
}

func (coordinator *coordinator) recordCaughtUp(startedAt cherrykeel.Instant) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.witness.RecordCaughtUp(startedAt)
}

// onState applies a new state of the fold.
func (coordinator *coordinator) onState(state *fold.State) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.state = state
	coordinator.recordTermsLocked(state)
}

// recordTerms records the terms of a state whose settings cannot be used. The host still counts as caught up with the
// log, so its witness must not confirm a keeper that the log has replaced.
func (coordinator *coordinator) recordTerms(state *fold.State) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.recordTermsLocked(state)
}

func (coordinator *coordinator) recordTermsLocked(state *fold.State) {
	for service, serviceOwnership := range state.Ownership {
		coordinator.witness.RecordTerm(service, serviceOwnership.Term)
	}
}

// owner returns the upstream that should own a key, or an empty string.
func (coordinator *coordinator) owner(service string, partition int, key string) string {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	placement := coordinator.placement(service)
	if owner, hot := placement.HotKeys[key]; hot {
		return owner
	}
	if partition < 0 || partition >= len(placement.Owners) {
		return ""
	}
	return placement.Owners[partition]
}

// placement returns the placement that the keeper announced if the log does not have it yet, else the log's. The caller
// holds the mutex.
func (coordinator *coordinator) placement(service string) cherrykeel.Placement {
	serviceOwnership := coordinator.state.Ownership[service]
	overlay, exists := coordinator.overlays[service]
	if exists && overlay.Term == serviceOwnership.Term && overlay.Base == serviceOwnership.Sequence {
		return overlay.Placement
	}
	return serviceOwnership.Placement
}

func (coordinator *coordinator) applyOverlay(overlay keeper.Overlay) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	current, exists := coordinator.overlays[overlay.Service]
	if !exists || overlay.Term >= current.Term {
		coordinator.overlays[overlay.Service] = overlay
	}
}

func (coordinator *coordinator) holdsAnyRole() bool {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	for service, serviceKeeper := range coordinator.keepers {
		current := coordinator.state.Ownership[service].Keeper == coordinator.host.config.Name
		if serviceKeeper.HoldsRole() && current {
			return true
		}
	}
	return false
}

// tick decides on every keyed service and submits the resulting actions.
func (coordinator *coordinator) tick(context.Context) {
	table := coordinator.host.table.Load()
	if table == nil || !coordinator.host.follower.Status().CaughtUp {
		return
	}
	confirms := map[string]map[string]int64{}
	coordinator.ticks++
	hosts := coordinator.host.roster.keeperHosts()
	removed := coordinator.host.roster.removedHosts()
	for path, service := range table.Services() {
		if !service.Keyed || !coordinator.shouldDecide(path) {
			continue
		}
		input := coordinator.input(service, hosts, removed)
		actions := coordinator.decide(path, &input)
		coordinator.submitActions(service, input, actions)
		for _, witness := range actions.RequestConfirmation {
			if confirms[witness] == nil {
				confirms[witness] = map[string]int64{}
			}
			confirms[witness][path] = input.Ownership.Term
		}
	}
	for witness, terms := range confirms {
		coordinator.requestConfirmation(witness, terms)
	}
}

// shouldDecide reports whether to decide on a service at this tick: at each tick if this host is its keeper or a
// witness, or it has no keeper; otherwise at every 25th, which detects a keeper that is no longer on the platform's
// list. This saves each host the time for services in which it has no role.
func (coordinator *coordinator) shouldDecide(service string) bool {
	if coordinator.ticks%idleTickInterval == 0 {
		return true
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	serviceOwnership := coordinator.state.Ownership[service]
	if serviceOwnership.Term == 0 || serviceOwnership.Keeper == coordinator.host.config.Name {
		return true
	}
	for _, witness := range serviceOwnership.Witnesses {
		if witness == coordinator.host.config.Name {
			return true
		}
	}
	return false
}

// input collects a decision's input, except for what the coordinator's mutex guards.
func (coordinator *coordinator) input(service *cherrykeel.Service, hosts []keeper.Host, removed map[string]bool) keeper.Input {
	host := coordinator.host
	input := keeper.Input{
		Now:          host.clock.Now(),
		Service:      service,
		Hosts:        hosts,
		RemovedHosts: removed,
		Leaving:      host.stopping.Load(),
		Draining:     map[string]bool{},
		Unreachable:  map[string]bool{},
		Refusing:     map[string]bool{},
	}
	for _, server := range service.Upstreams {
		input.Draining[server.Name] = host.IsDraining(service, server.Name)
		input.Refusing[server.Name] = host.roster.isRefusing(service.Path, server.Name, input.Now)
		input.Unreachable[server.Name] = host.roster.isDown(service.Path, server.Name, input.Now)
	}
	return input
}

func (coordinator *coordinator) decide(path string, input *keeper.Input) keeper.Actions {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.witness.RecordRunning(input.Now)
	input.Ownership = coordinator.state.Ownership[path]
	if coordinator.ownClaims[input.Ownership.ClaimID] {
		input.ClaimedTerm = input.Ownership.Term
	}
	serviceKeeper := coordinator.keeper(path)
	if serviceKeeper.HoldsRole() {
		input.Demand = coordinator.merger(input.Service).Demand(input.Now)
	}
	held := serviceKeeper.HoldsRole()
	actions := serviceKeeper.Tick(*input)
	coordinator.recordRoleChange(path, held, serviceKeeper.HoldsRole(), input.Ownership.Term)
	coordinator.logAvailabilityChanges(path, serviceKeeper, input.Now)
	return actions
}

// logAvailabilityChanges logs which upstreams became unavailable or available for the keeper since the last tick.
func (coordinator *coordinator) logAvailabilityChanges(path string, serviceKeeper *keeper.Keeper, now cherrykeel.Instant) {
	report, _ := serviceKeeper.Report(now)
	unavailable := map[string]bool{}
	for _, name := range report.Unavailable {
		unavailable[name] = true
		if !coordinator.unavailable[path][name] {
			events.Log(coordinator.host.logger, events.UpstreamUnavailable, zap.String("Service", path), zap.String("Upstream", name))
		}
	}
	for name := range coordinator.unavailable[path] {
		if !unavailable[name] && serviceKeeper.HoldsRole() {
			events.Log(coordinator.host.logger, events.UpstreamAvailable, zap.String("Service", path), zap.String("Upstream", name))
		}
	}
	coordinator.unavailable[path] = unavailable
}

func (coordinator *coordinator) recordRoleChange(path string, before, after bool, term int64) {
	if before == after {
		return
	}
	event := events.TermLost
	if after {
		event = events.TermWon
	} else {
		delete(coordinator.demandMergers, path)
	}
	events.Log(coordinator.host.logger, event, zap.String("Service", path), zap.Int64("Term", term))
}

// keeper returns this host's Keeper of a service, and creates it at the first call. The caller holds the mutex.
func (coordinator *coordinator) keeper(path string) *keeper.Keeper {
	serviceKeeper, exists := coordinator.keepers[path]
	if !exists {
		serviceKeeper = keeper.New(coordinator.host.config.Name, path, coordinator.witness, coordinator.host.placer)
		coordinator.keepers[path] = serviceKeeper
	}
	return serviceKeeper
}

// merger returns the merger of the hosts' reports of demand for a service, and creates it at the first call. The caller
// holds the mutex.
func (coordinator *coordinator) merger(service *cherrykeel.Service) *demand.Merger {
	merger, exists := coordinator.demandMergers[service.Path]
	if !exists {
		merger = demand.NewMerger(service.Partitions, partitionOf(service))
		coordinator.demandMergers[service.Path] = merger
	}
	return merger
}

func (coordinator *coordinator) receiveDemand(host, path string, demand cherrykeel.Demand) {
	table := coordinator.host.table.Load()
	if table == nil || table.Services()[path] == nil {
		return
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.keeper(path).HoldsRole() {
		coordinator.merger(table.Services()[path]).Receive(host, demand, coordinator.host.clock.Now())
	}
}

// submitActions passes the actions to the worker pool.
func (coordinator *coordinator) submitActions(service *cherrykeel.Service, input keeper.Input, actions keeper.Actions) {
	for _, order := range actions.Orders {
		coordinator.submit(func() { coordinator.sendOrder(service, input.Ownership.LeaseLength, order) })
	}
	for _, notice := range actions.TermNotices {
		coordinator.submit(func() { coordinator.sendTermNotice(service.Path, notice) })
	}
	for _, name := range actions.RequestSilence {
		coordinator.submit(func() { coordinator.requestSilence(service.Path, name, input.Ownership.LeaseLength) })
	}
	if actions.Claim != nil {
		record := coordinator.newRecord()
		record.Claim = actions.Claim
		coordinator.submit(func() { coordinator.propose(record, service.Path) })
	}
	if actions.Assign != nil {
		record := coordinator.newRecord()
		record.Assign = actions.Assign
		coordinator.submit(func() { coordinator.propose(record, service.Path) })
	}
	if actions.Overlay != nil {
		coordinator.announceOverlay(*actions.Overlay)
	}
}

func (coordinator *coordinator) submit(task func()) {
	_ = coordinator.host.workers.Go(task)
}

func (coordinator *coordinator) newRecord() fold.Record {
	return fold.Record{
		Format: fold.Format,
		ID:     uuid.NewString(),
		Author: coordinator.host.config.Name,
		Time:   coordinator.host.clock.Wall(),
	}
}

func (coordinator *coordinator) propose(record fold.Record, service string) {
	if record.Claim != nil {
		coordinator.mutex.Lock()
		coordinator.ownClaims[record.ID] = true
		coordinator.mutex.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	verdict, err := coordinator.host.follower.Propose(ctx, record)
	logger := coordinator.host.logger.With(zap.String("Service", service))
	switch {
	case err != nil:
		events.Log(logger, events.AssignUnconfirmed, zap.Error(err))
	case record.Claim != nil && !verdict.Accepted:
		events.Log(logger, events.ClaimRefused, zap.String("Reason", verdict.Reason))
	case record.Assign != nil && verdict.Accepted:
		events.Log(logger, events.PlacementChanged, zap.Int64("Version", verdict.Version))
	}
}
