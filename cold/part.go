package cold

import (
	"github.com/cespare/xxhash/v2"
)

// maxHostLists is how many different lists of hosts may be in use at once without the bound being broken. Hosts that are
// cut off go on by an older list than the others.
const maxHostLists = 2

// Quota returns how many requests a second the host named self may send to a cold upstream that bears bound requests a
// second from all hosts together.
//
// A few hosts have a part each, chosen by a hash of their names with the upstream's, so that no message is needed and
// each cold upstream has others. A host counts itself in or out by its own list: from one list never more than a
// listsAtOnce-th of the bound is given out, so hosts with two different ones still keep to it. A host that knows no list,
// or one without itself, has no part.
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

// rankOf returns the host's place among the hosts in their order for an upstream, and whether it is among them.
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

func weight(host, upstream string) uint64 {
	return xxhash.Sum64String(host + "\x00" + upstream)
}
