package keeper

import (
	"reflect"
	"time"

	"cherrykeel"
	"cherrykeel/fold"
)

// watchUpstreams notes which upstreams are lost, and takes back those that have answered for long enough.
func (term *term) watchUpstreams(input Input) {
	for _, server := range input.Service.Upstreams {
		if term.down(server.Name, input) {
			if _, known := term.lost[server.Name]; !known {
				term.losses[server.Name]++
			}
			term.lost[server.Name] = input.Now
			continue
		}
		since, lost := term.lost[server.Name]
		// Each loss doubles the wait, so that an upstream that comes and goes moves nothing.
		if lost && input.Now.Sub(since) >= term.patience(server.Name) {
			delete(term.lost, server.Name)
		}
	}
}

func (term *term) down(upstream string, input Input) bool {
	if input.Refusing[upstream] {
		// It is still owner, but sends its requests away; it is treated as lost, so that each
		// time it takes work back and refuses again lengthens the wait for the next.
		return true
	}
	if !input.Service.ChecksFences {
		return input.Unreachable[upstream]
	}
	return term.ledger.IsUnavailable(upstream, input.Now)
}

func (term *term) patience(upstream string) time.Duration {
	patience := returnPatience
	for loss := 1; loss < term.losses[upstream] && patience < maxReturnPatience; loss++ {
		patience *= 2
	}
	return min(patience, maxReturnPatience)
}

func (term *term) candidates(input Input) []cherrykeel.Candidate {
	var candidates []cherrykeel.Candidate
	for _, server := range input.Service.Upstreams {
		_, lost := term.lost[server.Name]
		if !lost && !input.Draining[server.Name] {
			candidates = append(candidates, cherrykeel.Candidate{Name: server.Name, Zone: server.Zone})
		}
	}
	return candidates
}

// place keeps the placement in the log in step with the upstreams that are there, and the ledger in step with the log.
func (term *term) place(input Input, actions *Actions) {
	if term.sequence != input.Block.Sequence {
		// The log has answered: the proposal is in force, or another one is.
		term.sequence = input.Block.Sequence
		term.proposed = nil
		term.overlay = nil
	}
	if input.Now < term.ledger.FreeAt() {
		// Until the leases of earlier terms have ended, nothing can change hands anyway.
		return
	}
	term.adopt(input)
	defer func() { term.promoted = moved(input.Block.Placement, term.current(input)) }()
	candidates := term.candidates(input)
	current := term.current(input)
	term.ledger.SetTarget(current)
	if len(candidates) == 0 {
		return
	}
	if term.proposed != nil {
		term.await(input, candidates, actions)
		return
	}
	next, needed := term.next(input, current, candidates)
	settling := len(input.Block.Earlier) > 0 && term.ledger.IsSettled(input.Now)
	if !needed && !settling && term.overlay == nil {
		return
	}
	term.propose(input, next, settling, actions)
}

// adopt takes over what an earlier keeper promoted without the log: upstreams that
// hold partitions which the log gives to others keep them, and it is recorded.
func (term *term) adopt(input Input) {
	if term.adopted {
		return
	}
	term.adopted = true
	found := cherrykeel.Placement{
		Owners:     append([]string(nil), input.Block.Placement.Owners...),
		Successors: input.Block.Placement.Successors,
		HotKeys:    input.Block.Placement.HotKeys,
	}
	for _, tenure := range term.ledger.HeldAssignments(input.Now) {
		for upstream, set := range tenure.Partitions {
			if _, listed := term.addresses[upstream]; !listed {
				// A process that is no upstream any more loses what it holds when its lease ends.
				continue
			}
			for partition := range set.EachSet() {
				if int(partition) < len(found.Owners) {
					found.Owners[partition] = upstream
				}
			}
		}
	}
	if !samePlacement(found, input.Block.Placement) {
		term.overlay = &found
		term.overlayAt = 0
	}
}

// current is the placement in force: the log's, or what was promoted without it.
func (term *term) current(input Input) cherrykeel.Placement {
	if term.overlay != nil {
		return *term.overlay
	}
	return input.Block.Placement
}

// next returns the placement that should follow, and whether it differs.
func (term *term) next(input Input, current cherrykeel.Placement, candidates []cherrykeel.Candidate) (cherrykeel.Placement, bool) {
	budget := 0
	balancing := input.Now.Sub(term.balancedAt) >= balanceEvery && term.ledger.IsSettled(input.Now)
	if balancing || term.balancedAt == 0 {
		term.balancedAt = input.Now
		budget = max(1, int(moveShare*float64(input.Service.Partitions)))
	}
	if budget == 0 && !orphaned(current, input.Service.Partitions, candidates) {
		return current, false
	}
	next := term.placer.Place(current, input.Service.Partitions, candidates, input.Demand, budget)
	return next, !samePlacement(current, next)
}

// moved counts the partitions that two placements give to different upstreams.
func moved(one, other cherrykeel.Placement) int {
	count := 0
	for partition, owner := range other.Owners {
		if partition >= len(one.Owners) || one.Owners[partition] != owner {
			count++
		}
	}
	return count
}

func orphaned(placement cherrykeel.Placement, partitions int, candidates []cherrykeel.Candidate) bool {
	if len(placement.Owners) != partitions {
		return true
	}
	live := map[string]bool{}
	for _, candidate := range candidates {
		live[candidate.Name] = true
	}
	for _, owner := range placement.Owners {
		if !live[owner] {
			return true
		}
	}
	for _, owner := range placement.HotKeys {
		if !live[owner] {
			return true
		}
	}
	return false
}

func samePlacement(one, other cherrykeel.Placement) bool {
	if len(one.HotKeys) == 0 && len(other.HotKeys) == 0 {
		one.HotKeys, other.HotKeys = nil, nil
	}
	return reflect.DeepEqual(one, other)
}

func (term *term) propose(input Input, next cherrykeel.Placement, settled bool, actions *Actions) {
	assign := fold.Difference(term.service, input.Block.Placement, next)
	assign.Term = term.number
	assign.Base = input.Block.Sequence
	assign.Settled = settled
	term.proposed = &next
	term.proposedAt = input.Now
	actions.Assign = &assign
}

// await goes on while the log has not answered: a lost owner's successors, which the
// log names already, take over without it; everything else waits.
func (term *term) await(input Input, candidates []cherrykeel.Candidate, actions *Actions) {
	waited := input.Now.Sub(term.proposedAt)
	if waited >= assignAgain {
		// The append may still take effect; then the block's sequence refuses the next one.
		term.proposed = nil
	}
	if waited < assignPatience {
		return
	}
	promoted := promote(term.current(input), candidates)
	if !samePlacement(promoted, term.current(input)) {
		term.overlay = &promoted
		term.overlayAt = 0
		term.ledger.SetTarget(promoted)
	}
	due := term.overlayAt == 0 || input.Now.Sub(term.overlayAt) >= overlayAgain
	if term.overlay != nil && due {
		term.overlayAt = input.Now
		actions.Overlay = &Overlay{Service: term.service, Term: term.number, Base: input.Block.Sequence, Placement: *term.overlay}
	}
}

// promote gives what lost upstreams owned to the successors that the log names.
func promote(placement cherrykeel.Placement, candidates []cherrykeel.Candidate) cherrykeel.Placement {
	live := map[string]bool{}
	for _, candidate := range candidates {
		live[candidate.Name] = true
	}
	promoted := cherrykeel.Placement{
		Owners:     append([]string(nil), placement.Owners...),
		Successors: placement.Successors,
		HotKeys:    map[string]string{},
	}
	for partition, owner := range placement.Owners {
		if !live[owner] && live[placement.Successors[partition]] {
			promoted.Owners[partition] = placement.Successors[partition]
		}
	}
	for key, owner := range placement.HotKeys {
		// A hot key of a lost upstream goes back to its partition until the log is there again.
		if live[owner] {
			promoted.HotKeys[key] = owner
		}
	}
	return promoted
}
