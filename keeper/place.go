package keeper

import (
	"reflect"
	"time"

	"cherrykeel"
	"cherrykeel/fold"
)

// watchUpstreams notes which upstreams are lost, and takes back those that have answered for long enough.
func (term *term) updateUnavailable(input Input) {
	for _, upstream := range input.Service.Upstreams {
		if term.isUnavailable(upstream.Name, input) {
			if _, exists := term.unavailable[upstream.Name]; !exists {
				term.unavailableCounts[upstream.Name]++
			}
			term.unavailable[upstream.Name] = input.Now
			continue
		}
		since, unavailable := term.unavailable[upstream.Name]
		// Each loss doubles the wait, so that an upstream that comes and goes moves nothing.
		if unavailable && input.Now.Sub(since) >= term.returnDelayOf(upstream.Name) {
			delete(term.unavailable, upstream.Name)
		}
	}
}

func (term *term) isUnavailable(upstream string, input Input) bool {
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

func (term *term) returnDelayOf(upstream string) time.Duration {
	delay := returnDelay
	for loss := 1; loss < term.unavailableCounts[upstream] && delay < maxReturnDelay; loss++ {
		delay *= 2
	}
	return min(delay, maxReturnDelay)
}

func (term *term) candidates(input Input) []cherrykeel.Candidate {
	var candidates []cherrykeel.Candidate
	for _, upstream := range input.Service.Upstreams {
		_, unavailable := term.unavailable[upstream.Name]
		if !unavailable && !input.Draining[upstream.Name] {
			candidates = append(candidates, cherrykeel.Candidate{Name: upstream.Name, Zone: upstream.Zone})
		}
	}
	return candidates
}

// place keeps the placement in the log in step with the upstreams that are there, and the ledger in step with the log.
func (term *term) updatePlacement(input Input, actions *Actions) {
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
	term.adoptHeldAssignments(input)
	defer func() { term.promoted = countMoved(input.Block.Placement, term.currentPlacement(input)) }()
	candidates := term.candidates(input)
	current := term.currentPlacement(input)
	term.ledger.SetTarget(current)
	if len(candidates) == 0 {
		return
	}
	if term.proposed != nil {
		term.awaitLog(input, candidates, actions)
		return
	}
	next, needed := term.nextPlacement(input, current, candidates)
	settling := len(input.Block.Earlier) > 0 && term.ledger.IsSettled(input.Now)
	if !needed && !settling && term.overlay == nil {
		return
	}
	term.proposePlacement(input, next, settling, actions)
}

// adopt takes over what an earlier keeper promoted without the log: upstreams that
// hold partitions which the log gives to others keep them, and it is recorded.
func (term *term) adoptHeldAssignments(input Input) {
	if term.adopted {
		return
	}
	term.adopted = true
	adopted := cherrykeel.Placement{
		Owners:     append([]string(nil), input.Block.Placement.Owners...),
		Successors: input.Block.Placement.Successors,
		HotKeys:    input.Block.Placement.HotKeys,
	}
	for _, assignment := range term.ledger.HeldAssignments(input.Now) {
		for upstream, set := range assignment.Partitions {
			if _, listed := term.addresses[upstream]; !listed {
				// A process that is no upstream any more loses what it holds when its lease ends.
				continue
			}
			for partition := range set.EachSet() {
				if int(partition) < len(adopted.Owners) {
					adopted.Owners[partition] = upstream
				}
			}
		}
	}
	if !samePlacement(adopted, input.Block.Placement) {
		term.overlay = &adopted
		term.overlayAt = 0
	}
}

// current is the placement in force: the log's, or what was promoted without it.
func (term *term) currentPlacement(input Input) cherrykeel.Placement {
	if term.overlay != nil {
		return *term.overlay
	}
	return input.Block.Placement
}

// next returns the placement that should follow, and whether it differs.
func (term *term) nextPlacement(input Input, current cherrykeel.Placement, candidates []cherrykeel.Candidate) (cherrykeel.Placement, bool) {
	budget := 0
	balancing := input.Now.Sub(term.balancedAt) >= balanceInterval && term.ledger.IsSettled(input.Now)
	if balancing || term.balancedAt == 0 {
		term.balancedAt = input.Now
		budget = max(1, int(maxMoveShare*float64(input.Service.Partitions)))
	}
	if budget == 0 && !hasOrphans(current, input.Service.Partitions, candidates) {
		return current, false
	}
	next := term.placer.Place(current, input.Service.Partitions, candidates, input.Demand, budget)
	return next, !samePlacement(current, next)
}

// moved counts the partitions that two placements give to different upstreams.
func countMoved(one, other cherrykeel.Placement) int {
	count := 0
	for partition, owner := range other.Owners {
		if partition >= len(one.Owners) || one.Owners[partition] != owner {
			count++
		}
	}
	return count
}

func hasOrphans(placement cherrykeel.Placement, partitions int, candidates []cherrykeel.Candidate) bool {
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

func (term *term) proposePlacement(input Input, next cherrykeel.Placement, settled bool, actions *Actions) {
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
func (term *term) awaitLog(input Input, candidates []cherrykeel.Candidate, actions *Actions) {
	waited := input.Now.Sub(term.proposedAt)
	if waited >= assignRetryAfter {
		// The append may still take effect; then the block's sequence refuses the next one.
		term.proposed = nil
	}
	if waited < assignTimeout {
		return
	}
	promoted := promoteSuccessors(term.currentPlacement(input), candidates)
	if !samePlacement(promoted, term.currentPlacement(input)) {
		term.overlay = &promoted
		term.overlayAt = 0
		term.ledger.SetTarget(promoted)
	}
	due := term.overlayAt == 0 || input.Now.Sub(term.overlayAt) >= overlayResendAfter
	if term.overlay != nil && due {
		term.overlayAt = input.Now
		actions.Overlay = &Overlay{Service: term.service, Term: term.number, Base: input.Block.Sequence, Placement: *term.overlay}
	}
}

// promote gives what lost upstreams owned to the successors that the log names.
func promoteSuccessors(placement cherrykeel.Placement, candidates []cherrykeel.Candidate) cherrykeel.Placement {
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
