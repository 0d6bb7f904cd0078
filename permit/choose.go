package permit

import (
	"github.com/cespare/xxhash/v2"
)

// Choose returns which of the hosts is the allocator of an upstream, or an empty name if there is none. Hosts with the
// same list choose the same one, and one that joins or leaves the list changes only its own upstreams (rendezvous
// hashing).
func Choose(upstream string, hosts []string) string {
	chosen, highest := "", uint64(0)
	for _, host := range hosts {
		weight := xxhash.Sum64String(host + "\x00" + upstream)
		if chosen == "" || weight > highest || weight == highest && host < chosen {
			chosen, highest = host, weight
		}
	}
	return chosen
}
