package lease

import (
	"maps"
	"sort"

	"github.com/bits-and-blooms/bitset"

	"cherrykeel"
)

// Assignment maps partitions and hot keys to the upstreams that may serve them. A grant to an upstream contains only
// its own; a grant to an entry host, for upstreams that do not check fences, contains all of them.
type Assignment struct {
	Partitions map[string]*bitset.BitSet
	// HotKeys maps keys that are assigned apart from their partitions to upstreams.
	HotKeys map[string]string
	// ExceptKeys are keys that hash to the partitions but are not assigned with them.
	ExceptKeys map[string]bool
}

// NewAssignment returns an empty assignment.
func NewAssignment() Assignment {
	return Assignment{Partitions: map[string]*bitset.BitSet{}, HotKeys: map[string]string{}, ExceptKeys: map[string]bool{}}
}

// AssignmentOf returns the assignment of all upstreams under a placement.
func AssignmentOf(placement cherrykeel.Placement) Assignment {
	assignment := NewAssignment()
	for partition, owner := range placement.Owners {
		if owner != "" {
			assignment.add(owner, partition)
		}
	}
	for key, owner := range placement.HotKeys {
		assignment.HotKeys[key] = owner
		assignment.ExceptKeys[key] = true
	}
	return assignment
}

// ForUpstream returns the part of the assignment that belongs to one upstream.
func (assignment Assignment) ForUpstream(upstream string, partitionOf func(string) int) Assignment {
	own := NewAssignment()
	partitions, exists := assignment.Partitions[upstream]
	if exists {
		own.Partitions[upstream] = partitions.Clone()
	}
	for key, owner := range assignment.HotKeys {
		if owner == upstream {
			own.HotKeys[key] = owner
		}
	}
	for key := range assignment.ExceptKeys {
		if exists && partitions.Test(uint(partitionOf(key))) {
			own.ExceptKeys[key] = true
		}
	}
	return own
}

// withRenamedUpstream returns the assignment with an upstream's name replaced by another name.
func (assignment Assignment) withRenamedUpstream(upstream, name string) Assignment {
	renamed := Assignment{
		Partitions: maps.Clone(assignment.Partitions),
		HotKeys:    maps.Clone(assignment.HotKeys),
		ExceptKeys: assignment.ExceptKeys,
	}
	if set, exists := renamed.Partitions[upstream]; exists {
		delete(renamed.Partitions, upstream)
		renamed.Partitions[name] = set
	}
	for key, owner := range renamed.HotKeys {
		if owner == upstream {
			renamed.HotKeys[key] = name
		}
	}
	return renamed
}

func (assignment Assignment) add(upstream string, partition int) {
	set, exists := assignment.Partitions[upstream]
	if !exists {
		set = &bitset.BitSet{}
		assignment.Partitions[upstream] = set
	}
	set.Set(uint(partition))
}

func (assignment Assignment) partitionsOf(upstream string) *bitset.BitSet {
	set, exists := assignment.Partitions[upstream]
	if !exists {
		return &bitset.BitSet{}
	}
	return set
}

func (assignment Assignment) hasPartition(upstream string, partition int) bool {
	set, exists := assignment.Partitions[upstream]
	return exists && set.Test(uint(partition))
}

func (assignment Assignment) isEmpty() bool {
	return assignment.equals(NewAssignment())
}

func (assignment Assignment) equals(other Assignment) bool {
	if len(assignment.HotKeys) != len(other.HotKeys) || len(assignment.ExceptKeys) != len(other.ExceptKeys) {
		return false
	}
	for key, owner := range assignment.HotKeys {
		if other.HotKeys[key] != owner {
			return false
		}
	}
	for key := range assignment.ExceptKeys {
		if !other.ExceptKeys[key] {
			return false
		}
	}
	return assignment.covers(other) && other.covers(assignment)
}

func (assignment Assignment) covers(other Assignment) bool {
	for upstream, set := range other.Partitions {
		own, exists := assignment.Partitions[upstream]
		if set.None() {
			continue
		}
		if !exists || set.Difference(own).Any() {
			return false
		}
	}
	return true
}

// writeTo writes the assignment into a grant. A grant to an upstream gets only the partitions of that upstream.
func (assignment Assignment) writeTo(grant *cherrykeel.Grant, lessee string, toHost bool) {
	for key, owner := range assignment.HotKeys {
		if toHost {
			key = owner + " " + key
		}
		grant.HotKeys = append(grant.HotKeys, key)
	}
	for key := range assignment.ExceptKeys {
		grant.ExceptKeys = append(grant.ExceptKeys, key)
	}
	sort.Strings(grant.HotKeys)
	sort.Strings(grant.ExceptKeys)
	if !toHost {
		grant.Partitions = partitionList(assignment.Partitions[lessee])
		return
	}
	grant.Owners = map[string][]int{}
	for upstream, set := range assignment.Partitions {
		grant.Owners[upstream] = partitionList(set)
	}
}

func partitionList(set *bitset.BitSet) []int {
	partitions := []int{}
	if set == nil {
		return partitions
	}
	for partition := range set.EachSet() {
		partitions = append(partitions, int(partition))
	}
	return partitions
}

// assignmentOfHolding returns what a lessee reports that it holds.
func assignmentOfHolding(lessee string, holding cherrykeel.Holding) Assignment {
	assignment := NewAssignment()
	for _, partition := range holding.Partitions {
		assignment.add(lessee, partition)
	}
	for upstream, partitions := range holding.Owners {
		for _, partition := range partitions {
			assignment.add(upstream, partition)
		}
	}
	for _, key := range holding.HotKeys {
		owner, name := splitHotKey(lessee, key, len(holding.Owners) > 0)
		assignment.HotKeys[name] = owner
	}
	for _, key := range holding.ExceptKeys {
		assignment.ExceptKeys[key] = true
	}
	return assignment
}

// splitHotKey splits a hot key into its owner and its name. Only holdings of entry hosts contain the owner.
func splitHotKey(lessee, key string, fromHost bool) (owner, name string) {
	if !fromHost {
		return lessee, key
	}
	for i := range key {
		if key[i] == ' ' {
			return key[:i], key[i+1:]
		}
	}
	return lessee, key
}
