package poison

import (
	"slices"
	"time"

	"cherrykeel"
)

const (
	// pendingFor is how long after a break the end of its upstream is still taken for the reason: an entry in the
	// store lapses some 3 s after the last heartbeat, and is believed to be missing after 2 s more at the worst.
	pendingFor = 6 * time.Second
	// abandonedFor is how long an upstream may still begin to run a request that its caller or this host has given up:
	// some do not look whether anybody waits, and their own queues hold a second's work or two.
	abandonedFor = 2 * time.Second
	// maxBreaks bounds what is kept; an upstream has a few dozen requests at once, and few upstreams end together.
	maxBreaks = 1024
	// maxAbandoned does so apart: overloaded hosts give up many, and these must not push out what was lost.
	maxAbandoned = 512
)

// Life is one life of an upstream, which may start again under its ID.
type Life struct {
	Upstream string
	// Born is in Unix milliseconds on the upstream's clock; 0 if it does not say.
	Born int64 `json:",omitempty"`
}

// LifeOf returns an upstream's present life.
func LifeOf(upstream cherrykeel.Upstream) Life {
	return Life{Upstream: upstream.ID, Born: upstream.StartedAt}
}

// Break is a request that was sent and got no answer: its connection ended, or this host gave it up.
type Break struct {
	Identity Identity
	// Marks are the caller's.
	Marks []Mark
	// Request is the ID of this attempt of the caller, for logs.
	Request string
	Service string
	Life    Life
	Address string
	// Begun is when the request was sent, At when its connection ended.
	Begun cherrykeel.Instant
	At    cherrykeel.Instant
	// Reset says that the connection was reset, not closed, and Abandoned that this host has closed it.
	Reset     bool
	Abandoned bool
}

// Witness keeps one host's breaks until it is known whether their upstreams have ended. What a host sees first is a
// connection that ends, and so it does for many reasons: the upstream was full, the network cut, an answer lost.
type Witness struct {
	breaks    []Break
	abandoned []Break
}

// Broke notes a break.
func (witness *Witness) Broke(found Break) {
	witness.forget(found.At)
	if found.Abandoned {
		witness.abandoned = push(witness.abandoned, found, maxAbandoned)
		return
	}
	witness.breaks = push(witness.breaks, found, maxBreaks)
}

// push adds a break, in place of the oldest one if there are as many as may be.
func push(list []Break, found Break, most int) []Break {
	if len(list) >= most {
		list = list[1:]
	}
	return append(list, found)
}

// Answered takes it that an upstream's life has answered a request that was sent at the given time: breaks before
// that were no end of it. What was abandoned may still wait there.
func (witness *Witness) Answered(life Life, sent cherrykeel.Instant) {
	_, witness.breaks = divide(witness.breaks, func(found Break) bool { return found.Life == life && found.At <= sent })
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
	return slices.ContainsFunc(witness.breaks, func(found Break) bool { return found.Address == address })
}

// Empty reports whether no break waits for its reason any more.
func (witness *Witness) Empty(now cherrykeel.Instant) bool {
	witness.forget(now)
	return len(witness.breaks)+len(witness.abandoned) == 0
}

func (witness *Witness) forget(now cherrykeel.Instant) {
	_, witness.breaks = divide(witness.breaks, func(found Break) bool { return now.Sub(found.At) > pendingFor })
	_, witness.abandoned = divide(witness.abandoned, func(found Break) bool { return now.Sub(found.At) > abandonedFor })
}

// take removes the breaks that match and returns them.
func (witness *Witness) take(matches func(found Break) bool) []Break {
	var lost, left []Break
	lost, witness.breaks = divide(witness.breaks, matches)
	left, witness.abandoned = divide(witness.abandoned, matches)
	return append(lost, left...)
}

// divide returns the breaks that match, and the others in the list's own place.
func divide(list []Break, matches func(found Break) bool) (matching, others []Break) {
	others = list[:0]
	for _, found := range list {
		if matches(found) {
			matching = append(matching, found)
			continue
		}
		others = append(others, found)
	}
	return matching, others
}
