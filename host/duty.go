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
	tickPause      = 20 * time.Millisecond
	proposeTimeout = 2 * time.Second
	idleTicks      = 25
	// orderShare is the share of a lease that an order may take before it counts as failed.
	orderShare = 0.3
)

// duty is this host's part in the ownership of keys: its keepers' decisions and its witness.
type duty struct {
	host     *Host
	mutex    sync.Mutex
	state    *fold.State
	witness  *lease.Witness
	keepers  map[string]*keeper.Keeper
	mergers  map[string]*demand.Merger
	overlays map[string]keeper.Overlay
	// claims are the ids of the claims that this process has made.
	claims map[string]bool
	// lost are the upstreams that a keeper on this host has lost, by service.
	lost map[string]map[string]bool
	// ticks counts, for the one goroutine that ticks.
	ticks int
}

func newDuty(host *Host) *duty {
	return &duty{
		host:     host,
		state:    fold.NewState(),
		witness:  lease.NewWitness(host.clock.Now()),
		keepers:  map[string]*keeper.Keeper{},
		mergers:  map[string]*demand.Merger{},
		overlays: map[string]keeper.Overlay{},
		claims:   map[string]bool{},
		lost:     map[string]map[string]bool{},
	}
}

func partitionOf(service *cherrykeel.Service) func(string) int {
	return func(key string) int {
		return route.Partition(key, service.Partitions)
	}
}

func (duty *duty) caughtUp(begun cherrykeel.Instant) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.witness.RecordCaughtUp(begun)
}

// onState takes in a new state of the fold.
func (duty *duty) onState(state *fold.State) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.state = state
	duty.learnAll(state)
}

// learnTerms takes in the terms of a state whose settings cannot be used: the host still counts as one that has
// read the log, so its witness must not confirm a keeper that the log has replaced.
func (duty *duty) learnTerms(state *fold.State) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.learnAll(state)
}

func (duty *duty) learnAll(state *fold.State) {
	for service, block := range state.Ownership {
		duty.witness.RecordTerm(service, block.Term)
	}
}

// owner returns who should hold a key: by the keeper's word while the log lacks it, else by the log.
func (duty *duty) owner(service string, partition int, key string) string {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	placement := duty.placement(service)
	if owner, hot := placement.HotKeys[key]; hot {
		return owner
	}
	if partition < 0 || partition >= len(placement.Owners) {
		return ""
	}
	return placement.Owners[partition]
}

func (duty *duty) placement(service string) cherrykeel.Placement {
	block := duty.state.Ownership[service]
	overlay, exists := duty.overlays[service]
	if exists && overlay.Term == block.Term && overlay.Base == block.Sequence {
		return overlay.Placement
	}
	return block.Placement
}

func (duty *duty) applyOverlay(overlay keeper.Overlay) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	current, exists := duty.overlays[overlay.Service]
	if !exists || overlay.Term >= current.Term {
		duty.overlays[overlay.Service] = overlay
	}
}

func (duty *duty) holdsAny() bool {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	for service, kept := range duty.keepers {
		current := duty.state.Ownership[service].Keeper == duty.host.config.Name
		if kept.HoldsRole() && current {
			return true
		}
	}
	return false
}

// tick decides for every keyed service and carries the actions out.
func (duty *duty) tick(context.Context) {
	table := duty.host.table.Load()
	if table == nil || !duty.host.follower.Status().CaughtUp {
		return
	}
	confirms := map[string]map[string]int64{}
	duty.ticks++
	hosts := duty.host.roster.hosts()
	gone := duty.host.roster.gone()
	for path, service := range table.Services() {
		if !service.Keyed || !duty.concerns(path) {
			continue
		}
		input := duty.input(service, hosts, gone)
		actions := duty.decide(path, &input)
		duty.carryOut(service, input, actions)
		for _, witness := range actions.RequestConfirmation {
			if confirms[witness] == nil {
				confirms[witness] = map[string]int64{}
			}
			confirms[witness][path] = input.Block.Term
		}
	}
	for witness, terms := range confirms {
		duty.confirm(witness, terms)
	}
}

// concerns reports whether a service is to be decided on at this tick: at each one where this
// host is its keeper or a witness, or nobody is keeper; else at every 25th, which finds a keeper
// that the list shows as gone. Without this, each host would spend time on every service there is.
func (duty *duty) concerns(service string) bool {
	if duty.ticks%idleTicks == 0 {
		return true
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	block := duty.state.Ownership[service]
	if block.Term == 0 || block.Keeper == duty.host.config.Name {
		return true
	}
	for _, witness := range block.Witnesses {
		if witness == duty.host.config.Name {
			return true
		}
	}
	return false
}

// input gathers what a decision rests on, apart from what the duty's lock guards.
func (duty *duty) input(service *cherrykeel.Service, hosts []keeper.Host, gone map[string]bool) keeper.Input {
	host := duty.host
	input := keeper.Input{
		Now:          host.clock.Now(),
		Service:      service,
		Hosts:        hosts,
		RemovedHosts: gone,
		Leaving:      host.stopping.Load(),
		Draining:     map[string]bool{},
		Unreachable:  map[string]bool{},
		Refusing:     map[string]bool{},
	}
	for _, server := range service.Upstreams {
		input.Draining[server.Name] = host.IsDraining(service, server.Name)
		input.Refusing[server.Name] = host.roster.refusing(service.Path, server.Name, input.Now)
		input.Unreachable[server.Name] = host.roster.down(service.Path, server.Name, input.Now)
	}
	return input
}

func (duty *duty) decide(path string, input *keeper.Input) keeper.Actions {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.witness.RecordRunning(input.Now)
	input.Block = duty.state.Ownership[path]
	if duty.claims[input.Block.ClaimID] {
		input.ClaimedTerm = input.Block.Term
	}
	kept := duty.keeper(path)
	if kept.HoldsRole() {
		input.Demand = duty.merger(input.Service).Demand(input.Now)
	}
	held := kept.HoldsRole()
	actions := kept.Tick(*input)
	duty.noteRole(path, held, kept.HoldsRole(), input.Block.Term)
	duty.noteLost(path, kept, input.Now)
	return actions
}

// noteLost logs which upstreams the keeper has lost and got back since the last tick.
func (duty *duty) noteLost(path string, kept *keeper.Keeper, now cherrykeel.Instant) {
	report, _ := kept.Report(now)
	lost := map[string]bool{}
	for _, name := range report.Unavailable {
		lost[name] = true
		if !duty.lost[path][name] {
			events.Log(duty.host.logger, events.UpstreamUnavailable, zap.String("Service", path), zap.String("Upstream", name))
		}
	}
	for name := range duty.lost[path] {
		if !lost[name] && kept.HoldsRole() {
			events.Log(duty.host.logger, events.UpstreamAvailable, zap.String("Service", path), zap.String("Upstream", name))
		}
	}
	duty.lost[path] = lost
}

func (duty *duty) noteRole(path string, before, after bool, term int64) {
	if before == after {
		return
	}
	event := events.TermLost
	if after {
		event = events.TermWon
	} else {
		delete(duty.mergers, path)
	}
	events.Log(duty.host.logger, event, zap.String("Service", path), zap.Int64("Term", term))
}

func (duty *duty) keeper(path string) *keeper.Keeper {
	kept, exists := duty.keepers[path]
	if !exists {
		kept = keeper.New(duty.host.config.Name, path, duty.witness, duty.host.placer)
		duty.keepers[path] = kept
	}
	return kept
}

func (duty *duty) merger(service *cherrykeel.Service) *demand.Merger {
	merger, exists := duty.mergers[service.Path]
	if !exists {
		merger = demand.NewMerger(service.Partitions, partitionOf(service))
		duty.mergers[service.Path] = merger
	}
	return merger
}

func (duty *duty) hearDemand(host, path string, demand cherrykeel.Demand) {
	table := duty.host.table.Load()
	if table == nil || table.Services()[path] == nil {
		return
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if duty.keeper(path).HoldsRole() {
		duty.merger(table.Services()[path]).Receive(host, demand, duty.host.clock.Now())
	}
}

// carryOut hands the actions to the workers.
func (duty *duty) carryOut(service *cherrykeel.Service, input keeper.Input, actions keeper.Actions) {
	for _, order := range actions.Orders {
		duty.submit(func() { duty.send(service, input.Block.LeaseLength, order) })
	}
	for _, teaching := range actions.TermNotices {
		duty.submit(func() { duty.teach(service.Path, teaching) })
	}
	for _, name := range actions.RequestSilence {
		duty.submit(func() { duty.askSilence(service.Path, name, input.Block.LeaseLength) })
	}
	if actions.Claim != nil {
		record := duty.record()
		record.Claim = actions.Claim
		duty.submit(func() { duty.propose(record, service.Path) })
	}
	if actions.Assign != nil {
		record := duty.record()
		record.Assign = actions.Assign
		duty.submit(func() { duty.propose(record, service.Path) })
	}
	if actions.Overlay != nil {
		duty.spread(*actions.Overlay)
	}
}

func (duty *duty) submit(task func()) {
	_ = duty.host.workers.Go(task)
}

func (duty *duty) record() fold.Record {
	return fold.Record{
		Format: fold.Format,
		ID:     uuid.NewString(),
		Author: duty.host.config.Name,
		Time:   duty.host.clock.Wall(),
	}
}

func (duty *duty) propose(record fold.Record, service string) {
	if record.Claim != nil {
		duty.mutex.Lock()
		duty.claims[record.ID] = true
		duty.mutex.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	verdict, err := duty.host.follower.Propose(ctx, record)
	logger := duty.host.logger.With(zap.String("Service", service))
	switch {
	case err != nil:
		events.Log(logger, events.AssignUnconfirmed, zap.Error(err))
	case record.Claim != nil && !verdict.Accepted:
		events.Log(logger, events.ClaimRefused, zap.String("Reason", verdict.Reason))
	case record.Assign != nil && verdict.Accepted:
		events.Log(logger, events.PlacementChanged, zap.Int64("Version", verdict.Version))
	}
}
