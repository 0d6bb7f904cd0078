package lease

import (
	"github.com/bits-and-blooms/bitset"
)

// target is what a lessee should hold in the end.
func (ledger *Ledger) target(name string) Assignment {
	if ledger.toHosts {
		return ledger.wanted
	}
	return ledger.wanted.ForUpstream(name, ledger.partitionOf)
}

// allowed is the part of the target that no other lessee may still hold for another upstream.
func (ledger *Ledger) allowed(name string, lessee *lessee) Assignment {
	target := ledger.target(name)
	held := lessee.held()
	unknown := ledger.anybodyUnknown()
	next := NewAssignment()
	for upstream, wanted := range target.Partitions {
		// What a lessee says it holds may be what it only works on, since before its lease ended. So that
		// word lets it keep what somebody unknown may hold, but not what another is known to hold.
		free := wanted.Difference(ledger.blocked(upstream))
		if unknown {
			free = free.Intersection(held.partitions(upstream))
		}
		next.Partitions[upstream] = free
	}
	for key, owner := range target.HotKeys {
		kept := !unknown || held.HotKeys[key] == owner
		if kept && !ledger.keyHeldElsewhere(owner, key) {
			next.HotKeys[key] = owner
		}
	}
	for key := range target.ExceptKeys {
		next.ExceptKeys[key] = true
	}
	ledger.exceptCoolingKeys(next)
	if unknown {
		// A key that was held alone may still be, by a lessee that has not said what it holds.
		for key := range held.ExceptKeys {
			next.ExceptKeys[key] = true
		}
	}
	return next
}

func (ledger *Ledger) anybodyUnknown() bool {
	for _, lessee := range ledger.lessees {
		for _, possession := range lessee.possible {
			if possession.anything {
				return true
			}
		}
	}
	return false
}

// blocked returns the partitions that somebody may hold for an upstream other than this one.
func (ledger *Ledger) blocked(upstream string) *bitset.BitSet {
	blocked := &bitset.BitSet{}
	for _, lessee := range ledger.lessees {
		for _, possession := range lessee.possible {
			for other, set := range possession.tenure.Partitions {
				if other != upstream {
					blocked.InPlaceUnion(set)
				}
			}
		}
	}
	return blocked
}

func (ledger *Ledger) keyHeldElsewhere(owner, key string) bool {
	partition := ledger.partitionOf(key)
	for _, lessee := range ledger.lessees {
		for _, possession := range lessee.possible {
			if possession.tenure.keyElsewhere(owner, key, partition) {
				return true
			}
		}
	}
	return false
}

func (tenure Assignment) keyElsewhere(owner, key string, partition int) bool {
	if hot, held := tenure.HotKeys[key]; held && hot != owner {
		return true
	}
	if tenure.ExceptKeys[key] {
		return false
	}
	for upstream := range tenure.Partitions {
		if upstream != owner && tenure.has(upstream, partition) {
			return true
		}
	}
	return false
}

// exceptCoolingKeys leaves out keys that go back to their partitions but may still be held alone by another upstream.
func (ledger *Ledger) exceptCoolingKeys(next Assignment) {
	for _, lessee := range ledger.lessees {
		for _, possession := range lessee.possible {
			for key, owner := range possession.tenure.HotKeys {
				if next.givesTo(owner, ledger.partitionOf(key)) {
					continue
				}
				next.ExceptKeys[key] = true
			}
		}
	}
}

// givesTo reports whether the partition is the owner's or nobody's in the tenure.
func (tenure Assignment) givesTo(owner string, partition int) bool {
	for upstream := range tenure.Partitions {
		if upstream != owner && tenure.has(upstream, partition) {
			return false
		}
	}
	return true
}
