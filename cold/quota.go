package cold

import (
	"github.com/cespare/xxhash/v2"
)

// maxHostLists is how many different lists of hosts may be in use at once without exceeding the bound. Hosts that are
// disconnected keep an older list than the others.
const maxHostLists = 2

// Quota returns how many requests a second the host self may send to a cold upstream that tolerates bound requests a
// second from all hosts together.
//
// The hosts with a quota are chosen by a hash of their names with the upstream's (rendezvous hashing), so that no
// message is needed, and different upstreams have different hosts. Each host computes its quota from its own list. With
// one list, at most 1/maxHostLists of the bound is assigned, so hosts with two different lists still stay within it. A
// host without a list, or with one that does not contain itself, has no quota.
func Quota(self string, hosts []string, upstream string, bound float64) int {
	total := int(bound) / maxHostLists
	if len(hosts) == 0 || total < 1 {
		return 0
	}
	rank, listed := rankOf(self, hosts, upstream)
	if !listed {
		return 0
	}
	quota, remainder := total/len(hosts), total%len(hosts)
	if rank < remainder {
		quota++
	}
	return quota
}

// rankOf returns the host's rank among the hosts by their weight for an upstream, and whether the host is listed.
func rankOf(self string, hosts []string, upstream string) (int, bool) {
	own := weight(self, upstream)
	rank, listed := 0, false
	for _, host := range hosts {
		if host == self {
			listed = true
			continue
		}
		other := weight(host, upstream)
		if other > own || other == own && host < self {
			rank++
		}
	}
	return rank, listed
}

// weight returns the rendezvous weight of a host for an upstream.
func weight(host, upstream string) uint64 {
	return xxhash.Sum64String(host + "\x00" + upstream)
}
