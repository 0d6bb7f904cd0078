package permit

import (
	"time"
)

// Incarnation is one life of an upstream.
type Incarnation struct {
	ID        string
	StartedAt int64 `json:"Born,omitempty"`
}

// Want is a request that waits for a permit.
type Want struct {
	// ID names the request on its host; 0 is a permit that is asked for before any request needs it.
	ID uint64 `json:",omitempty"`
	// Priority is lower for requests that go first.
	Priority int
	// Left is the time within which the request has to be sent.
	Left time.Duration
}

// Ask is all that a host wants for one upstream; it replaces the host's Ask before it.
type Ask struct {
	Upstream Incarnation
	Wants    []Want `json:",omitempty"`
}

// Reply is what a host gets for one upstream.
type Reply struct {
	Upstream Incarnation
	// Permits is how many requests the host may send now.
	Permits int `json:",omitempty"`
	// Declined has the IDs of the wants that can't be met in time.
	Declined []uint64 `json:",omitempty"`
}

// IsEmpty reports whether the reply neither gives nor declines anything.
func (reply Reply) IsEmpty() bool {
	return reply.Permits == 0 && len(reply.Declined) == 0
}
