package cherrykeel

import (
	"context"
	"time"
)

// Fence orders grants of ownership: an upstream refuses any that is lower than one it has seen.
type Fence struct {
	// Term is the version of the keeper's accepted claim in the log.
	Term int64
	// Sequence counts a keeper's grants within its term.
	Sequence int64
}

// Less reports whether fence is lower than other.
func (fence Fence) Less(other Fence) bool {
	if fence.Term != other.Term {
		return fence.Term < other.Term
	}
	return fence.Sequence < other.Sequence
}

// Grant makes an upstream the owner of partitions and hot keys until a time on the upstream's clock.
type Grant struct {
	Service string
	Fence   Fence
	// Incarnation names the upstream process that the grant is meant for; a later one refuses it.
	Incarnation string `json:"Boot"`
	// Until is the end of the lease in the upstream's monotonic time.
	Until      time.Duration
	Partitions []int `json:",omitempty"`
	// HotKeys are owned independently of the partitions to which they hash.
	HotKeys []string `json:",omitempty"`
	// ExceptKeys hash to the partitions but are owned by another upstream.
	ExceptKeys []string `json:",omitempty"`
	// Owners maps upstreams to the partitions for which an entry host may send them requests. It replaces
	// Partitions in grants to entry hosts, which hold the leases for upstreams that don't check fences.
	Owners map[string][]int `json:",omitempty"`
	// Timeout bounds the requests that an entry host sends under the lease. The keeper waits that long after
	// the lease's end. It is part of the grant because hosts read the settings at different times: those in
	// force on a host may already allow more.
	Timeout time.Duration `json:",omitempty"`
	// Partial means that the keys held stay as the last grant set them, if its lease has not expired.
	Partial bool `json:",omitempty"`
}

// Holding is an upstream's answer to a grant or a query: what it holds now.
type Holding struct {
	Service     string
	Incarnation string `json:"Boot"`
	// Now is the upstream's monotonic time when it answered.
	Now      time.Duration
	Accepted bool
	Reason   string
	Fence    Fence
	Until    time.Duration

	// Partitions and the keys are those that the upstream owns now, and those that running requests still use.
	Partitions []int
	HotKeys    []string
	ExceptKeys []string
	Owners     map[string][]int
}

// Granter grants ownership to upstreams and queries what they hold.
type Granter interface {
	// Grant sends a grant; after an error it is unknown whether the upstream has accepted it.
	Grant(ctx context.Context, address string, grant Grant) (Holding, error)
	// RequestHolding queries what an upstream holds for a service.
	RequestHolding(ctx context.Context, address, service string) (Holding, error)
}
