package poison

import (
	"time"

	"cherrykeel"
)

const (
	// pendingFor is how long after a break the end of its upstream is still taken for the reason: an entry in the
	// store lapses some 3 s after the last heartbeat, and is believed to be missing after 2 s more at the worst.
	pendingFor = 6 * time.Second
	// maxBreaks bounds what is kept; an upstream has a few dozen requests at once, and few upstreams end together.
	maxBreaks = 1024
)

// Life is one life of an upstream, which may start again under its ID.
type Life struct {
	Upstream string
	// Born is in Unix milliseconds on the upstream's clock; 0 if it does not say.
	Born int64 `json:",omitempty"`
}

// LifeOf returns an upstream's present life.
func LifeOf(upstream cherrykeel.Upstream) Life {
	return Life{Upstream: upstream.ID, Born: upstream.Born}
}

// Break is a request that was sent and got no answer.
type Break struct {
	Identity Identity
	// Request is the ID of this attempt of the caller, for logs.
	Request string
	Service string
	Life    Life
	Address string
	At      cherrykeel.Instant
	// Reset says that the connection was reset, not closed.
	Reset bool
}

// Witness keeps one host's breaks until it is known whether their upstreams have ended. What a host sees first is a
// connection that ends, and so it does for many reasons: the upstream was full, the network cut, an answer lost.
type Witness struct {
	breaks []Break
}

// Broke notes a break.
func (witness *Witness) Broke(found Break) {
	witness.forget(found.At)
	if len(witness.breaks) >= maxBreaks {
		witness.breaks = witness.breaks[1:]
	}
	witness.breaks = append(witness.breaks, found)
}

// Answered takes it that an upstream's life has answered a request that was sent at the given time: breaks before
// that were no end of it.
func (witness *Witness) Answered(life Life, sent cherrykeel.Instant) {
	witness.take(func(found Break) bool { return found.Life == life && found.At <= sent })
}

// Unreachable returns the breaks at an address where a connection is refused now, since no process listens there.
func (witness *Witness) Unreachable(address string, now cherrykeel.Instant) []Break {
	witness.forget(now)
	return witness.take(func(found Break) bool { return found.Address == address })
}

// Ended returns the breaks of a life that is known to have ended.
func (witness *Witness) Ended(life Life, now cherrykeel.Instant) []Break {
	witness.forget(now)
	return witness.take(func(found Break) bool { return found.Life == life })
}

// Waits reports whether any break at the address still waits for its reason.
func (witness *Witness) Waits(address string) bool {
	for _, found := range witness.breaks {
		if found.Address == address {
			return true
		}
	}
	return false
}

// Empty reports whether no break is kept.
func (witness *Witness) Empty() bool {
	return len(witness.breaks) == 0
}

func (witness *Witness) forget(now cherrykeel.Instant) {
	witness.take(func(found Break) bool { return now.Sub(found.At) > pendingFor })
}

// take removes the breaks that match and returns them.
func (witness *Witness) take(matches func(found Break) bool) []Break {
	if len(witness.breaks) == 0 {
		return nil
	}
	var taken []Break
	kept := witness.breaks[:0]
	for _, found := range witness.breaks {
		if matches(found) {
			taken = append(taken, found)
			continue
		}
		kept = append(kept, found)
	}
	witness.breaks = kept
	return taken
}
