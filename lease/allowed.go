package lease

import (
	"github.com/bits-and-blooms/bitset"
)

// target is what a lessee should hold in the end.
func (ledger *Ledger) targetFor(name string) Assignment {
	if ledger.leaseToHosts {
		return ledger.target
	}
	return ledger.target.ForUpstream(name, ledger.partitionOf)
}

// allowed is the part of the target that no other lessee may still hold for another upstream.
func (ledger *Ledger) allowedAssignment(name string, lessee *lessee) Assignment {
	target := ledger.targetFor(name)
	held := lessee.lastAssignment()
	unknown := ledger.hasUnknownLease()
	next := NewAssignment()
	for upstream, wanted := range target.Partitions {
		// What a lessee says it holds may be what it only works on, since before its lease ended. So that
		// word lets it keep what somebody unknown may hold, but not what another is known to hold.
		available := wanted.Difference(ledger.blockedPartitions(upstream))
		if unknown {
			available = available.Intersection(held.partitionsOf(upstream))
		}
		next.Partitions[upstream] = available
	}
	for key, owner := range target.HotKeys {
		kept := !unknown || held.HotKeys[key] == owner
		if kept && !ledger.isKeyHeldElsewhere(owner, key) {
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

func (ledger *Ledger) hasUnknownLease() bool {
	for _, lessee := range ledger.lessees {
		for _, possibleLease := range lessee.possibleLeases {
			if possibleLease.unknown {
				return true
			}
		}
	}
	return false
}

// blocked returns the partitions that somebody may hold for an upstream other than this one.
func (ledger *Ledger) blockedPartitions(upstream string) *bitset.BitSet {
	blocked := &bitset.BitSet{}
	for _, lessee := range ledger.lessees {
		for _, possibleLease := range lessee.possibleLeases {
			for other, set := range possibleLease.assignment.Partitions {
				if other != upstream {
					blocked.InPlaceUnion(set)
				}
			}
		}
	}
	return blocked
}

func (ledger *Ledger) isKeyHeldElsewhere(owner, key string) bool {
	partition := ledger.partitionOf(key)
	for _, lessee := range ledger.lessees {
		for _, possibleLease := range lessee.possibleLeases {
			if possibleLease.assignment.hasKeyElsewhere(owner, key, partition) {
				return true
			}
		}
	}
	return false
}

func (assignment Assignment) hasKeyElsewhere(owner, key string, partition int) bool {
	if hot, held := assignment.HotKeys[key]; held && hot != owner {
		return true
	}
	if assignment.ExceptKeys[key] {
		return false
	}
	for upstream := range assignment.Partitions {
		if upstream != owner && assignment.hasPartition(upstream, partition) {
			return true
		}
	}
	return false
}

// exceptCoolingKeys leaves out keys that go back to their partitions but may still be held alone by another upstream.
func (ledger *Ledger) exceptCoolingKeys(next Assignment) {
	for _, lessee := range ledger.lessees {
		for _, possibleLease := range lessee.possibleLeases {
			for key, owner := range possibleLease.assignment.HotKeys {
				if next.hasNoOtherOwner(owner, ledger.partitionOf(key)) {
					continue
				}
				next.ExceptKeys[key] = true
			}
		}
	}
}

// givesTo reports whether the partition is the owner's or nobody's in the tenure.
func (assignment Assignment) hasNoOtherOwner(owner string, partition int) bool {
	for upstream := range assignment.Partitions {
		if upstream != owner && assignment.hasPartition(upstream, partition) {
			return false
		}
	}
	return true
}
