package lease

import (
	"time"

	"cherrykeel"
)

// Witness records, in memory only, the newest term of each service that its host knows. It lets a keeper continue
// while the log is unavailable, and stops one that has been replaced.
type Witness struct {
	started     cherrykeel.Instant
	lastRunAt   cherrykeel.Instant
	ready       bool
	terms       map[string]int64
	requestedAt map[string]cherrykeel.Instant
}

// maxSuspension is how long a witness may be suspended before it abstains again, since a new keeper may have counted it
// as removed in the meantime.
const maxSuspension = time.Second

// NewWitness returns a witness that abstains until it has caught up with the log. An earlier process of the host may
// have learned a term, and so promised not to confirm older ones; the claim of that term was in the log by then, so
// reading the log restores the promise.
func NewWitness(now cherrykeel.Instant) *Witness {
	return &Witness{
		started:     now,
		lastRunAt:   now,
		terms:       map[string]int64{},
		requestedAt: map[string]cherrykeel.Instant{},
	}
}

// RecordRunning records that the host is not suspended; it is called many times a second. After a suspension longer than
// maxSuspension the witness abstains again until it has caught up with the log.
func (witness *Witness) RecordRunning(now cherrykeel.Instant) {
	if now.Sub(witness.lastRunAt) > maxSuspension {
		witness.ready = false
		witness.started = now
	}
	witness.lastRunAt = now
}

// RecordCaughtUp records that a read of the log that started at startedAt found no records that the witness had not
// learned.
func (witness *Witness) RecordCaughtUp(startedAt cherrykeel.Instant) {
	if startedAt >= witness.started {
		witness.ready = true
	}
}

// IsReady reports whether the witness confirms at all.
func (witness *Witness) IsReady() bool {
	return witness.ready
}

// RecordTerm records a term; lower ones are never confirmed again.
func (witness *Witness) RecordTerm(service string, term int64) {
	witness.terms[service] = max(witness.terms[service], term)
}

// Confirm answers a keeper's request to confirm that its term is the newest.
func (witness *Witness) Confirm(service string, term int64, now cherrykeel.Instant) bool {
	witness.RecordRunning(now)
	newest := witness.terms[service]
	if term >= newest {
		witness.requestedAt[service] = now
	}
	return witness.ready && newest == term
}

// LastRequestAt returns when the keeper of a service last requested a confirmation, or when the witness started if
// that is later.
func (witness *Witness) LastRequestAt(service string) cherrykeel.Instant {
	return max(witness.requestedAt[service], witness.started)
}

// Quorum collects the confirmations of a keeper's term by its witnesses.
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

// RecordConfirmation records that a witness confirmed the term in answer to a request that was sent at an instant.
func (quorum *Quorum) RecordConfirmation(witness string, sent cherrykeel.Instant) {
	if last, isWitness := quorum.confirmed[witness]; isWitness {
		quorum.confirmed[witness] = max(last, sent)
	}
}

// ConfirmedAt returns the latest instant at which a majority had confirmed the term, or 0.
func (quorum *Quorum) ConfirmedAt() cherrykeel.Instant {
	return majorityInstant(quorum.confirmed)
}

// majorityInstant returns the latest instant that a majority of the given ones have reached, or 0.
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
