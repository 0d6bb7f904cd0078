package lease

import (
	"maps"
	"sort"

	"github.com/bits-and-blooms/bitset"

	"cherrykeel"
)

// Assignment says which upstream may act for which partitions and hot keys.
// A grant to an upstream names only itself; a grant to an entry host, for
// upstreams that do not check fences, names all of them.
type Assignment struct {
	Partitions map[string]*bitset.BitSet
	// HotKeys maps keys that are held apart from their partitions to upstreams.
	HotKeys map[string]string
	// ExceptKeys hash to the partitions but do not go with them.
	ExceptKeys map[string]bool
}

// NewAssignment returns a tenure of nothing.
func NewAssignment() Assignment {
	return Assignment{Partitions: map[string]*bitset.BitSet{}, HotKeys: map[string]string{}, ExceptKeys: map[string]bool{}}
}

// AssignmentOf returns what a placement gives to all upstreams together.
func AssignmentOf(placement cherrykeel.Placement) Assignment {
	tenure := NewAssignment()
	for partition, owner := range placement.Owners {
		if owner != "" {
			tenure.add(owner, partition)
		}
	}
	for key, owner := range placement.HotKeys {
		tenure.HotKeys[key] = owner
		tenure.ExceptKeys[key] = true
	}
	return tenure
}

// ForUpstream returns the part that belongs to one upstream.
func (tenure Assignment) ForUpstream(upstream string, partitionOf func(string) int) Assignment {
	part := NewAssignment()
	own, exists := tenure.Partitions[upstream]
	if exists {
		part.Partitions[upstream] = own.Clone()
	}
	for key, owner := range tenure.HotKeys {
		if owner == upstream {
			part.HotKeys[key] = owner
		}
	}
	for key := range tenure.ExceptKeys {
		if exists && own.Test(uint(partitionOf(key))) {
			part.ExceptKeys[key] = true
		}
	}
	return part
}

// renamed returns the tenure with another name in the place of an upstream's.
func (tenure Assignment) renamed(upstream, name string) Assignment {
	renamed := Assignment{
		Partitions: maps.Clone(tenure.Partitions),
		HotKeys:    maps.Clone(tenure.HotKeys),
		ExceptKeys: tenure.ExceptKeys,
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

func (tenure Assignment) add(upstream string, partition int) {
	set, exists := tenure.Partitions[upstream]
	if !exists {
		set = &bitset.BitSet{}
		tenure.Partitions[upstream] = set
	}
	set.Set(uint(partition))
}

func (tenure Assignment) partitions(upstream string) *bitset.BitSet {
	set, exists := tenure.Partitions[upstream]
	if !exists {
		return &bitset.BitSet{}
	}
	return set
}

func (tenure Assignment) has(upstream string, partition int) bool {
	set, exists := tenure.Partitions[upstream]
	return exists && set.Test(uint(partition))
}

func (tenure Assignment) empty() bool {
	return tenure.equal(NewAssignment())
}

func (tenure Assignment) equal(other Assignment) bool {
	if len(tenure.HotKeys) != len(other.HotKeys) || len(tenure.ExceptKeys) != len(other.ExceptKeys) {
		return false
	}
	for key, owner := range tenure.HotKeys {
		if other.HotKeys[key] != owner {
			return false
		}
	}
	for key := range tenure.ExceptKeys {
		if !other.ExceptKeys[key] {
			return false
		}
	}
	return tenure.covers(other) && other.covers(tenure)
}

func (tenure Assignment) covers(other Assignment) bool {
	for upstream, set := range other.Partitions {
		own, exists := tenure.Partitions[upstream]
		if set.None() {
			continue
		}
		if !exists || set.Difference(own).Any() {
			return false
		}
	}
	return true
}

// fill writes the tenure into a grant; to an upstream only its own part has partitions.
func (tenure Assignment) fill(grant *cherrykeel.Grant, lessee string, toHost bool) {
	for key, owner := range tenure.HotKeys {
		if toHost {
			key = owner + " " + key
		}
		grant.HotKeys = append(grant.HotKeys, key)
	}
	for key := range tenure.ExceptKeys {
		grant.ExceptKeys = append(grant.ExceptKeys, key)
	}
	sort.Strings(grant.HotKeys)
	sort.Strings(grant.ExceptKeys)
	if !toHost {
		grant.Partitions = list(tenure.Partitions[lessee])
		return
	}
	grant.Owners = map[string][]int{}
	for upstream, set := range tenure.Partitions {
		grant.Owners[upstream] = list(set)
	}
}

func list(set *bitset.BitSet) []int {
	partitions := []int{}
	if set == nil {
		return partitions
	}
	for partition := range set.EachSet() {
		partitions = append(partitions, int(partition))
	}
	return partitions
}

// tenureOfHolding reads what a lessee says it holds.
func tenureOfHolding(lessee string, holding cherrykeel.Holding) Assignment {
	tenure := NewAssignment()
	for _, partition := range holding.Partitions {
		tenure.add(lessee, partition)
	}
	for upstream, partitions := range holding.Owners {
		for _, partition := range partitions {
			tenure.add(upstream, partition)
		}
	}
	for _, key := range holding.HotKeys {
		owner, name := splitHotKey(lessee, key, len(holding.Owners) > 0)
		tenure.HotKeys[name] = owner
	}
	for _, key := range holding.ExceptKeys {
		tenure.ExceptKeys[key] = true
	}
	return tenure
}

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
