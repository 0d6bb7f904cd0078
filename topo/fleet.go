package topo

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cherrykeel"
)

// Fleet is the part of a plan that changes only when the set of hosts changes. Plans are computed every 80 ms; with the
// order and the groups each would take 0.16 ms for 195 hosts, 2 ms of a core in each second.
type Fleet struct {
	self   string
	names  []string
	ranks  map[string]int
	groups map[string][]string
	labels []string
	// ownLabel is the label of the group of self.
	ownLabel string
}

// NewFleet returns the order and the groups of the hosts for the host named self; peers include it.
func NewFleet(self string, peers []cherrykeel.Peer) *Fleet {
	ordered := sortByCapacity(peers)
	fleet := &Fleet{self: self, ranks: map[string]int{}, groups: divideIntoGroups(ordered)}
	for rank, peer := range ordered {
		fleet.names = append(fleet.names, peer.Name)
		fleet.ranks[peer.Name] = rank
	}
	fleet.labels = sortedLabels(fleet.groups)
	for label, names := range fleet.groups {
		if contains(names, self) {
			fleet.ownLabel = label
		}
	}
	return fleet
}

func sortByCapacity(peers []cherrykeel.Peer) []cherrykeel.Peer {
	ordered := append([]cherrykeel.Peer(nil), peers...)
	sort.Slice(ordered, func(i, j int) bool {
		one, two := ordered[i], ordered[j]
		if one.Capacity != two.Capacity {
			return one.Capacity > two.Capacity
		}
		oneHash, twoHash := xxhash.Sum64String(one.Name), xxhash.Sum64String(two.Name)
		if oneHash != twoHash {
			return oneHash < twoHash
		}
		return one.Name < two.Name
	})
	return ordered
}

// divideIntoGroups returns the groups by label, each in the given order; an availability zone is one group, or several
// of about equal size.
func divideIntoGroups(ordered []cherrykeel.Peer) map[string][]string {
	sizes := map[string]int{}
	for _, peer := range ordered {
		sizes[peer.Zone]++
	}
	assigned := map[string]int{}
	groups := map[string][]string{}
	for _, peer := range ordered {
		groupCount := (sizes[peer.Zone] + maxGroupHosts - 1) / maxGroupHosts
		label := peer.Zone + "/" + strconv.Itoa(assigned[peer.Zone]%groupCount)
		assigned[peer.Zone]++
		groups[label] = append(groups[label], peer.Name)
	}
	return groups
}

func sortedLabels(groups map[string][]string) []string {
	all := make([]string, 0, len(groups))
	for label := range groups {
		all = append(all, label)
	}
	sort.Strings(all)
	return all
}
