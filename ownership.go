package cherrykeel

import (
	"context"
	"time"
)

// Fence orders grants of ownership: a server refuses any that is lower than one it has seen.
type Fence struct {
	// Term is the version of the keeper's accepted claim in the log.
	Term int64
	// Sequence counts a keeper's grants within its term.
	Sequence int64
}

// Less reports whether fence is older than other.
func (fence Fence) Less(other Fence) bool {
	if fence.Term != other.Term {
		return fence.Term < other.Term
	}
	return fence.Sequence < other.Sequence
}

// Grant makes an upstream the owner of partitions and hot keys until a time on its own clock.
type Grant struct {
	Service string
	Fence   Fence
	// Incarnation is the start of the upstream process that the grant is meant for; another one refuses it.
	Incarnation string `json:"Boot"`
	// Until is in the upstream's own monotonic time.
	Until      time.Duration
	Partitions []int `json:",omitempty"`
	// HotKeys are owned apart from the partitions they hash to.
	HotKeys []string `json:",omitempty"`
	// ExceptKeys hash to the partitions but are owned by another upstream.
	ExceptKeys []string `json:",omitempty"`
	// Owners maps upstreams to the partitions that an entry host may send them; it replaces
	// Partitions towards hosts, which hold the leases of upstreams that do not check fences.
	Owners map[string][]int `json:",omitempty"`
	// Timeout bounds the requests that an entry host sends under the lease. The keeper waits that long after
	// the lease's end; the settings, which hosts read at different times, may already allow more.
	Timeout time.Duration `json:",omitempty"`
	// Partial says that what is held stays as the last grant set it, if its lease has not lapsed.
	Partial bool `json:",omitempty"`
}

// Holding is what an upstream answers to a grant or a question: what it now holds.
type Holding struct {
	Service     string
	Incarnation string `json:"Boot"`
	// Now is the upstream's monotonic time when it answered.
	Now      time.Duration
	Accepted bool
	Reason   string
	Fence    Fence
	Until    time.Duration

	// Partitions and the keys are what the next request would find, and what is still worked on.
	Partitions []int
	HotKeys    []string
	ExceptKeys []string
	Owners     map[string][]int
}

// Granter gives ownership to upstreams and asks them what they hold.
type Granter interface {
	// Grant sends a grant; an error leaves open whether it was taken.
	Grant(ctx context.Context, address string, grant Grant) (Holding, error)
	// RequestHolding asks an upstream what it holds for a service.
	RequestHolding(ctx context.Context, address, service string) (Holding, error)
}
