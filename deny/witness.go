package deny

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/poison"
)

const (
	// probeAfter lets an upstream's process end whose connections have begun to.
	probeAfter = 10 * time.Millisecond
	// probeEvery bounds the probes of one address; upstreams that are full end hundreds of connections a second.
	probeEvery = 500 * time.Millisecond
)

// broke has the address asked unless the connection was reset. Upstreams that are full reset what is beyond their
// room, and a probe for each takes more of it; the request under which a process ends has been read, so that its
// connection is closed. What else was lost there waits for the answer too.
func (list *List) broke(found poison.Break) {
	list.mutex.Lock()
	list.witness.Broke(found)
	list.broken.Store(true)
	list.mutex.Unlock()
	if !found.Reset && !found.Abandoned {
		list.probes.soon(found.Address)
	}
}

// Answered takes it that an upstream's life has answered a request that was sent at the given time.
func (list *List) Answered(life poison.Life, sent cherrykeel.Instant) {
	list.resolve(func(cherrykeel.Instant) []poison.Break {
		list.witness.Answered(life, sent)
		return nil
	}, "")
}

// Unreachable takes it that a connection to an address was refused.
func (list *List) Unreachable(address string) {
	list.resolve(func(now cherrykeel.Instant) []poison.Break { return list.witness.Unreachable(address, now) }, Refused)
}

// Ended takes it that an upstream's life is over.
func (list *List) Ended(life poison.Life) {
	list.resolve(func(now cherrykeel.Instant) []poison.Break { return list.witness.Ended(life, now) }, Gone)
}

// resolve takes the breaks that the witness knows the reason of now.
func (list *List) resolve(known func(now cherrykeel.Instant) []poison.Break, evidence Evidence) {
	if !list.broken.Load() {
		return
	}
	now := list.Clock.Now()
	list.mutex.Lock()
	breaks := known(now)
	list.broken.Store(!list.witness.Empty(now))
	list.mutex.Unlock()
	for _, found := range breaks {
		// Who has said that it leaves ends when its work is done, whatever that was.
		if !list.Planned(found.Life) {
			list.atEnd(found, evidence, now)
		}
	}
}

// atEnd takes a request that was at work when its upstream ended.
func (list *List) atEnd(found poison.Break, evidence Evidence, now cherrykeel.Instant) {
	seen := list.now() - now.Sub(found.At).Milliseconds()
	list.mutex.Lock()
	before := list.table.Extent(found.Identity)
	record, news := list.table.Ended(found, seen)
	if news {
		list.changedOne(found.Identity, before)
	} else {
		record, _ = list.table.Find(found.Identity)
	}
	list.mutex.Unlock()
	events.Log(list.Logger, events.RequestAtEnd,
		zap.String("Request", found.Request), zap.Stringer("Identity", found.Identity),
		zap.Any("Callers", found.Marks), zap.String("Service", found.Service),
		zap.String("Upstream", found.Life.Upstream), zap.Int64("Born", found.Life.Born),
		zap.String("Evidence", string(evidence)), zap.Duration("After", now.Sub(found.At)), zap.Int("Ends", len(record.Standing())))
	if news {
		list.spread(record, before)
	}
}

func (list *List) served(identity poison.Identity, marks []poison.Mark) {
	list.mutex.Lock()
	before := list.table.Extent(identity)
	record, news := list.table.Answered(identity, marks...)
	list.mutex.Unlock()
	if news {
		list.spread(record, before)
	}
}

// spread tells of what this host has seen itself.
func (list *List) spread(record poison.Record, before poison.Extent) {
	list.logChange(record, before)
	list.Tell(record)
	if len(record.Ends) >= list.KeptEnds {
		list.Keep(record)
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
