package lease

import (
	"time"

	"cherrykeel"
)

// Witness remembers, in memory only, the newest term of each service that its host has
// heard of. It lets a keeper go on without the log, and stops one that has been replaced.
type Witness struct {
	started     cherrykeel.Instant
	lastRunAt   cherrykeel.Instant
	ready       bool
	terms       map[string]int64
	requestedAt map[string]cherrykeel.Instant
}

// maxPause is how long a witness may stand still and still be relied on by a keeper's successor.
const maxSuspension = time.Second

// NewWitness returns a witness that abstains until it has caught up with the log.
// It may have promised, before its host was replaced, to stop a keeper; the claim
// that it promised to obey was in the log by then, so having read the log makes
// up for what it has forgotten.
func NewWitness(now cherrykeel.Instant) *Witness {
	return &Witness{
		started:     now,
		lastRunAt:   now,
		terms:       map[string]int64{},
		requestedAt: map[string]cherrykeel.Instant{},
	}
}

// RecordRunning records that the host is running, not paused; it is called many times a second.
// After a long pause the witness abstains again: a successor may have counted it as gone.
func (witness *Witness) RecordRunning(now cherrykeel.Instant) {
	if now.Sub(witness.lastRunAt) > maxSuspension {
		witness.ready = false
		witness.started = now
	}
	witness.lastRunAt = now
}

// RecordCaughtUp records that a read of the log, begun at an instant, found nothing that was not learned.
func (witness *Witness) RecordCaughtUp(startedAt cherrykeel.Instant) {
	if startedAt >= witness.started {
		witness.ready = true
	}
}

// IsReady reports whether the witness confirms at all.
func (witness *Witness) IsReady() bool {
	return witness.ready
}

// RecordTerm records a term; a lower one is never confirmed again.
func (witness *Witness) RecordTerm(service string, term int64) {
	witness.terms[service] = max(witness.terms[service], term)
}

// Confirm answers a keeper that asks whether its term is the newest.
func (witness *Witness) Confirm(service string, term int64, now cherrykeel.Instant) bool {
	witness.RecordRunning(now)
	newest := witness.terms[service]
	if term >= newest {
		witness.requestedAt[service] = now
	}
	return witness.ready && newest == term
}

// LastRequestAt returns when the keeper of a service last asked, or the witness's start.
func (witness *Witness) LastRequestAt(service string) cherrykeel.Instant {
	return max(witness.requestedAt[service], witness.started)
}

// Quorum collects the confirmations of a keeper's term.
type Quorum struct {
	confirmed map[string]cherrykeel.Instant
}

// NewQuorum returns a quorum of the named witnesses, none of which has confirmed yet.
func NewQuorum(witnesses []string) *Quorum {
	quorum := &Quorum{confirmed: map[string]cherrykeel.Instant{}}
	for _, name := range witnesses {
		quorum.confirmed[name] = 0
	}
	return quorum
}

// RecordConfirmation records that a witness answered a question that was sent at an instant.
func (quorum *Quorum) RecordConfirmation(witness string, sent cherrykeel.Instant) {
	if last, isWitness := quorum.confirmed[witness]; isWitness {
		quorum.confirmed[witness] = max(last, sent)
	}
}

// ConfirmedAt returns the latest instant at which a majority had confirmed, or 0.
func (quorum *Quorum) ConfirmedAt() cherrykeel.Instant {
	return majorityInstant(quorum.confirmed)
}

func majorityInstant(instants map[string]cherrykeel.Instant) cherrykeel.Instant {
	best := cherrykeel.Instant(0)
	for _, candidate := range instants {
		count := 0
		for _, other := range instants {
			if other >= candidate {
				count++
			}
		}
		if 2*count > len(instants) {
			best = max(best, candidate)
		}
	}
	return best
}
