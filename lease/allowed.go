package lease

import (
	"github.com/bits-and-blooms/bitset"
)

// targetFor returns what a lessee should hold in the end.
func (ledger *Ledger) targetFor(name string) Assignment {
	if ledger.leaseToHosts {
		return ledger.target
	}
	return ledger.target.ForUpstream(name, ledger.partitionOf)
}

// allowedAssignment returns the part of a lessee's target that no other lessee can still hold for another upstream.
func (ledger *Ledger) allowedAssignment(name string, lessee *lessee) Assignment {
	target := ledger.targetFor(name)
	held := lessee.lastAssignment()
	unknown := ledger.hasUnknownLease()
	next := NewAssignment()
	for upstream, wanted := range target.Partitions {
		// What a lessee reports may include partitions that it only still works on after its lease has ended. It may
		// keep those that a lessee with unknown holdings might have, but not those that another lessee is known to
		// hold.
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
		// A lessee with unknown holdings may still own such a key apart from its partition.
		for key := range held.ExceptKeys {
			next.ExceptKeys[key] = true
		}
	}
	return next
}

// hasUnknownLease reports whether it is unknown what any lessee may hold.
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

// blockedPartitions returns the partitions that a lessee may hold for another upstream than the given one.
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

// isKeyHeldElsewhere reports whether any lessee may hold a key for another upstream than the given owner.
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

// exceptCoolingKeys excludes keys that go back to their partitions while another upstream may still own them
// separately.
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

// hasNoOtherOwner reports whether the partition belongs to the given owner or to no upstream.
func (assignment Assignment) hasNoOtherOwner(owner string, partition int) bool {
	for upstream := range assignment.Partitions {
		if upstream != owner && assignment.hasPartition(upstream, partition) {
			return false
		}
	}
	return true
}
