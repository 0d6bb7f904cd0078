package origin

import "cherrykeel"

// Names tells which request an answer names.
type Names int

const (
	// Nobody means that the answer names no request.
	Nobody Names = iota
	// Own means that it names the request of the call.
	Own
	// Another means that it names another request.
	Another
	// Several means that its headers contradict each other or are malformed, so that it is unclear what it answers.
	Several
)

// String returns the word for logs.
func (names Names) String() string {
	return [...]string{"nobody", "own", "another", "several"}[names]
}

// NamesOf returns which request an answer names.
func NamesOf(call Call, reply cherrykeel.ReplyHeaders) Names {
	switch {
	case reply.Contradictory, reply.Malformed != "":
		return Several
	case reply.ID == "":
		return Nobody
	case reply.ID == call.ID:
		return Own
	default:
		return Another
	}
}

// IsForeign reports whether an answer belongs to no send of the call's request, so that the call's own may follow on the
// connection. Upstreams repeat the ID of a request that has one in each answer.
func IsForeign(call Call, reply cherrykeel.ReplyHeaders) bool {
	names := NamesOf(call, reply)
	return names == Another || names == Nobody && call.ID != ""
}
