package conns

import "hash/maphash"

// maxCarried is how many requests' IDs a connection remembers, the newest ones. A second answer comes where the next one is
// due, where another request skips it, so few are needed; this many outlast the refusals that an upstream sends on one
// connection while a request waits to be sent again.
const maxCarried = 1024

// carriedSeed is the seed of the hashes of IDs.
var carriedSeed = maphash.MakeSeed()

// carried has the IDs of the requests that a connection has carried. Its zero value is empty.
//
// An answer bears its request's ID, which is the same for each repeat of the request. A second copy of the answer to one
// send would count as the answer to the next send on the same connection: a caller would be told that a request has not run
// which is running. So a connection carries an ID once.
type carried struct {
	hashes []uint64
	next   int
}

// add adds an ID, in place of the oldest one if there are too many.
func (carried *carried) add(id string) {
	if id == "" {
		return
	}
	hash := maphash.String(carriedSeed, id)
	if len(carried.hashes) < maxCarried {
		carried.hashes = append(carried.hashes, hash)
		return
	}
	carried.hashes[carried.next] = hash
	carried.next = (carried.next + 1) % maxCarried
}

// has reports whether an ID was carried. It may report so of one that was not, if two have the same hash.
func (carried *carried) has(id string) bool {
	if id == "" {
		return false
	}
	hash := maphash.String(carriedSeed, id)
	for _, other := range carried.hashes {
		if other == hash {
			return true
		}
	}
	return false
}
