package keeper

import (
	"reflect"
	"time"

	"cherrykeel"
	"cherrykeel/fold"
)

// updateUnavailable records which upstreams are unavailable, and readmits those that have been available for long
// enough.
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
		// Each outage doubles the delay, so that an upstream that fails repeatedly does not cause moves each time.
		if unavailable && input.Now.Sub(since) >= term.returnDelayOf(upstream.Name) {
			delete(term.unavailable, upstream.Name)
		}
	}
}

func (term *term) isUnavailable(upstream string, input Input) bool {
	if input.Refusing[upstream] {
		// The upstream still owns keys but refuses their requests. It is treated as unavailable, so that the delay
		// grows each time it gets work back and refuses again.
		return true
	}
	if !input.Service.ChecksFences {
		return input.Unreachable[upstream]
	}
	return term.ledger.IsUnavailable(upstream, input.Now)
}

// returnDelayOf returns how long an upstream must be available before it gets work again.
func (term *term) returnDelayOf(upstream string) time.Duration {
	delay := returnDelay
	for outage := 1; outage < term.unavailableCounts[upstream] && delay < maxReturnDelay; outage++ {
		delay *= 2
	}
	return min(delay, maxReturnDelay)
}

// candidates returns the upstreams that may get keys.
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

// updatePlacement proposes a new placement to the log when the available upstreams or their load change, and sets the
// ledger's target to the placement in force.
func (term *term) updatePlacement(input Input, actions *Actions) {
	if term.sequence != input.Ownership.Sequence {
		// The log has a new placement: the proposal, or another one.
		term.sequence = input.Ownership.Sequence
		term.proposed = nil
		term.overlay = nil
	}
	if input.Now < term.ledger.FreeAt() {
		// Until the leases of earlier terms have ended, no key can get another owner.
		return
	}
	term.adoptHeldAssignments(input)
	defer func() { term.promoted = countMoved(input.Ownership.Placement, term.currentPlacement(input)) }()
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
	settling := len(input.Ownership.Earlier) > 0 && term.ledger.IsSettled(input.Now)
	if !needed && !settling && term.overlay == nil {
		return
	}
	term.proposePlacement(input, next, settling, actions)
}

// adoptHeldAssignments adopts what an earlier keeper promoted while the log was unavailable: upstreams that hold
// partitions which the log assigns to others keep them, and the keeper proposes that placement to the log.
func (term *term) adoptHeldAssignments(input Input) {
	if term.adopted {
		return
	}
	term.adopted = true
	adopted := cherrykeel.Placement{
		Owners:     append([]string(nil), input.Ownership.Placement.Owners...),
		Successors: input.Ownership.Placement.Successors,
		HotKeys:    input.Ownership.Placement.HotKeys,
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
	if !samePlacement(adopted, input.Ownership.Placement) {
		term.overlay = &adopted
		term.overlayAt = 0
	}
}

// currentPlacement returns the placement in force: the log's, or one that was promoted without it.
func (term *term) currentPlacement(input Input) cherrykeel.Placement {
	if term.overlay != nil {
		return *term.overlay
	}
	return input.Ownership.Placement
}

// nextPlacement returns the placement that should follow, and whether it differs from the current one.
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

// countMoved counts the partitions that have different owners in two placements.
func countMoved(one, other cherrykeel.Placement) int {
	count := 0
	for partition, owner := range other.Owners {
		if partition >= len(one.Owners) || one.Owners[partition] != owner {
			count++
		}
	}
	return count
}

// hasOrphans reports whether a partition or hot key has no owner among the candidates.
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

// samePlacement reports whether two placements are equal, where no hot keys and an empty map are the same.
func samePlacement(one, other cherrykeel.Placement) bool {
	if len(one.HotKeys) == 0 && len(other.HotKeys) == 0 {
		one.HotKeys, other.HotKeys = nil, nil
	}
	return reflect.DeepEqual(one, other)
}

func (term *term) proposePlacement(input Input, next cherrykeel.Placement, settled bool, actions *Actions) {
	assign := fold.DiffPlacements(term.service, input.Ownership.Placement, next)
	assign.Term = term.number
	assign.Base = input.Ownership.Sequence
	assign.Settled = settled
	term.proposed = &next
	term.proposedAt = input.Now
	actions.Assign = &assign
}

// awaitLog handles a proposal that the log has not answered yet. The successors of an unavailable owner, which the
// log already names, take over without the log; everything else waits.
func (term *term) awaitLog(input Input, candidates []cherrykeel.Candidate, actions *Actions) {
	waited := input.Now.Sub(term.proposedAt)
	if waited >= assignRetryAfter {
		// The append may still take effect; the log then rejects the next proposal, which names the old sequence.
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
		actions.Overlay = &Overlay{Service: term.service, Term: term.number, Base: input.Ownership.Sequence, Placement: *term.overlay}
	}
}

// promoteSuccessors assigns what unavailable upstreams owned to the successors that the log names.
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
		// A hot key of an unavailable upstream goes back to its partition until the log is available.
		if live[owner] {
			promoted.HotKeys[key] = owner
		}
	}
	return promoted
}
