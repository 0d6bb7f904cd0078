package deny

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/poison"
)

// Evidence is what showed that an upstream's process had ended.
type Evidence string

// The kinds of evidence, as they stand in logs.
const (
	// Refused means that a connection to its address was refused.
	Refused Evidence = "connection refused"
	// Gone means that its entry was gone, or another process had its address.
	Gone Evidence = "entry gone"
)

// Settings is what a List needs of its host.
type Settings struct {
	Clock  cherrykeel.Clock
	Logger *zap.Logger
	// Probe asks for a connection to an address and reports whether it was refused; nil asks nobody.
	Probe func(address string) bool
	// Planned reports whether an upstream's life had said that it would end; nil takes none for planned.
	Planned func(life poison.Life) bool
}

// List is one host's list.
type List struct {
	Settings
	probes *prober

	mutex   sync.Mutex
	witness poison.Witness
	// broken says that the witness keeps breaks, so that requests need not take the lock on usual days.
	broken atomic.Bool
}

// New returns an empty list.
func New(settings Settings) *List {
	if settings.Probe == nil {
		settings.Probe = func(string) bool { return false }
	}
	if settings.Planned == nil {
		settings.Planned = func(poison.Life) bool { return false }
	}
	list := &List{Settings: settings}
	list.probes = newProber(list.ask)
	return list
}

// Broke takes a request that was sent and whose connection ended without a whole answer.
func (list *List) Broke(found poison.Break) {
	list.mutex.Lock()
	list.witness.Broke(found)
	list.broken.Store(true)
	list.mutex.Unlock()
	list.probes.soon(found.Address)
}

// Answered takes it that an upstream's life has answered a request that was sent at the given time.
func (list *List) Answered(life poison.Life, sent cherrykeel.Instant) {
	if !list.broken.Load() {
		return
	}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.witness.Answered(life, sent)
	list.broken.Store(!list.witness.Empty())
}

// Unreachable takes it that a connection to an address was refused.
func (list *List) Unreachable(address string) {
	if !list.broken.Load() {
		return
	}
	now := list.Clock.Now()
	list.mutex.Lock()
	breaks := list.witness.Unreachable(address, now)
	list.broken.Store(!list.witness.Empty())
	list.mutex.Unlock()
	list.ended(breaks, Refused, now)
}

// Ended takes it that an upstream's life is over.
func (list *List) Ended(life poison.Life) {
	if !list.broken.Load() {
		return
	}
	now := list.Clock.Now()
	list.mutex.Lock()
	breaks := list.witness.Ended(life, now)
	list.broken.Store(!list.witness.Empty())
	list.mutex.Unlock()
	list.ended(breaks, Gone, now)
}

// ended takes requests that were at work when their upstreams ended.
func (list *List) ended(breaks []poison.Break, evidence Evidence, now cherrykeel.Instant) {
	for _, found := range breaks {
		if list.Planned(found.Life) {
			continue
		}
		events.Log(list.Logger, events.RequestAtEnd,
			zap.String("Request", found.Request), zap.Stringer("Identity", found.Identity), zap.String("Service", found.Service),
			zap.String("Upstream", found.Life.Upstream), zap.Int64("Born", found.Life.Born),
			zap.String("Evidence", string(evidence)), zap.Duration("After", now.Sub(found.At)))
	}
}

// ask looks whether a process listens at an address at which a request was lost. Other requests, and the heartbeats'
// lapse, would tell later: on a quiet service by seconds, in which the same request ends the next upstream.
func (list *List) ask(address string) {
	list.mutex.Lock()
	waits := list.witness.Waits(address)
	list.mutex.Unlock()
	if waits && list.Probe(address) {
		list.Unreachable(address)
	}
}

const (
	// probeAfter lets an upstream's process end whose connections have begun to.
	probeAfter = 10 * time.Millisecond
	// probeEvery bounds the probes of one address; upstreams that are full end hundreds of connections a second.
	probeEvery = 500 * time.Millisecond
)
