package conns

import "hash/maphash"

// maxCarried is how many requests with an ID a connection carries before it is closed. It remembers all of them: one that it
// forgot could be sent on it again.
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
	// sends counts the requests, those without an ID included.
	sends int
}

// add adds the ID of a request, or counts one that has none.
func (carried *carried) add(id string) {
	carried.sends++
	if id != "" {
		carried.hashes = append(carried.hashes, maphash.String(carriedSeed, id))
	}
}

// isFull reports whether the connection must not carry another request.
func (carried *carried) isFull() bool {
	return len(carried.hashes) >= maxCarried
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
