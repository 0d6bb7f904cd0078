package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// CrashesToDeny is the number of crashes at which a request is denied. Fewer would deny requests that were merely
	// running beside others; each further one costs one more upstream, with all the requests that it runs.
	CrashesToDeny = 3
	// independentCrashesToDeny is how many of these must be independent of each other, that is, from sends one after
	// another, before a request is denied to all callers or to all callers of one address.
	independentCrashesToDeny = 2
	// retention is how long a request is remembered after its last crash. Denied for that long, a request can crash at
	// most three more upstreams an hour, and a caller that is denied wrongly is denied no longer than that.
	retention = time.Hour
	// maxSuspected and maxDenied limit the records kept, separately, so that no number of requests with one or two
	// crashes displaces a denied one. A record takes about 600 bytes with one crash, and 24 KB with the largest number
	// of crashes and callers.
	maxSuspected = 512
	maxDenied    = 1024
)

// Table holds the requests that were running when upstreams crashed, as seen by all hosts together. It is not safe for
// concurrent use.
type Table struct {
	records map[Fingerprint]*Record
	denials map[Fingerprint]denial
	// targetCounts has the number of records for each target.
	targetCounts map[Target]int
	// observedLocally has the requests of which this host itself has seen a crash or an answer.
	observedLocally map[Fingerprint]bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Fingerprint]*Record{}, denials: map[Fingerprint]denial{}, targetCounts: map[Target]int{}, observedLocally: map[Fingerprint]bool{}}
}

// RecordCrash records a crash that this host has seen at a time, in Unix milliseconds. It returns the request's record
// if that changed it.
func (table *Table) RecordCrash(attempt UnansweredAttempt, seenAt int64) (Record, bool) {
	crash := Crash{Incarnation: attempt.Incarnation, SeenAt: seenAt, SentAt: seenAt - attempt.EndedAt.Sub(attempt.SentAt).Milliseconds()}
	for _, caller := range attempt.CallerFingerprints {
		crash.recordCaller(caller, false)
	}
	record, changed := table.Merge(Record{Fingerprint: attempt.Fingerprint, Service: attempt.Service, Crashes: []Crash{crash}}, seenAt)
	_, kept := table.records[attempt.Fingerprint]
	if changed && kept {
		table.observedLocally[attempt.Fingerprint] = true
	}
	return record, changed
}

// IsObservedLocally reports whether this host itself has seen a crash or an answer of the request, and has not only
// received records of it.
func (table *Table) IsObservedLocally(fingerprint Fingerprint) bool {
	return table.observedLocally[fingerprint]
}

// Merge merges a received record; now is in Unix milliseconds. It returns the merged record if that changed it.
func (table *Table) Merge(received Record, now int64) (Record, bool) {
	record, known := table.records[received.Fingerprint]
	if !known {
		record = &Record{Fingerprint: received.Fingerprint, Service: received.Service}
	}
	changed := false
	for _, crash := range received.Crashes {
		if !isExpired(crash.SeenAt, now) {
			changed = record.addCrash(crash) || changed
		}
	}
	if !changed {
		return Record{}, false
	}
	if !known {
		table.records[received.Fingerprint] = record
		table.targetCounts[received.Fingerprint.Target()]++
	}
	table.removeExpired(now)
	table.updateDenials()
	table.enforceLimits()
	return record.clone(), true
}

// RecordAnswer records that an upstream has answered a caller's request successfully. The crashes so far then count
// neither against all callers nor against this one. It returns the request's record if that changed it.
func (table *Table) RecordAnswer(fingerprint Fingerprint, callers ...CallerFingerprint) (Record, bool) {
	record, known := table.records[fingerprint]
	if !known || !record.markAnswered(callers) {
		return Record{}, false
	}
	table.observedLocally[fingerprint] = true
	table.updateDenials()
	return record.clone(), true
}

// WithdrawCrash records that an incarnation did not crash while it ran a request, as was concluded: its crash then counts
// against nobody. It returns the request's record if that changed it.
func (table *Table) WithdrawCrash(fingerprint Fingerprint, incarnation Incarnation) (Record, bool) {
	record, known := table.records[fingerprint]
	if !known || !record.withdraw(incarnation) {
		return Record{}, false
	}
	table.updateDenials()
	return record.clone(), true
}

// IsDenied reports whether the request must not be sent to any upstream for a caller with these fingerprints.
func (table *Table) IsDenied(fingerprint Fingerprint, callers ...CallerFingerprint) bool {
	return table.denials[fingerprint].appliesTo(callers)
}

// DenialScope returns to whom a request is denied.
func (table *Table) DenialScope(fingerprint Fingerprint) DenialScope {
	return table.denials[fingerprint].scope()
}

// HasTarget reports whether there is a record of any request for a target. If not, the whole fingerprint need not be
// computed.
func (table *Table) HasTarget(target Target) bool {
	return table.targetCounts[target] > 0
}

// IsSuspected reports whether any crash counts against a caller's request, be it against all callers or this one.
func (table *Table) IsSuspected(fingerprint Fingerprint, callers ...CallerFingerprint) bool {
	record, known := table.records[fingerprint]
	if !known {
		return false
	}
	return slices.ContainsFunc(record.Crashes, func(crash Crash) bool {
		return !crash.Answered || slices.ContainsFunc(callers, crash.countsAgainst)
	})
}

// Find returns a copy of a request's record, and whether there is one.
func (table *Table) Find(fingerprint Fingerprint) (Record, bool) {
	record, known := table.records[fingerprint]
	if !known {
		return Record{}, false
	}
	return record.clone(), true
}

// Records returns copies of all records.
func (table *Table) Records() []Record {
	var records []Record
	for _, record := range table.records {
		records = append(records, record.clone())
	}
	return records
}

// Counts returns the number of denied requests and the number of all records.
func (table *Table) Counts() (denied, total int) {
	return len(table.denials), len(table.records)
}

// ExpiresAt returns when a request's record expires, in Unix milliseconds; 0 if there is none.
func (table *Table) ExpiresAt(fingerprint Fingerprint) int64 {
	record, known := table.records[fingerprint]
	if !known {
		return 0
	}
	return record.lastSeenAt() + retention.Milliseconds()
}

// RemoveExpired removes the records that have expired at a time in Unix milliseconds, and returns their fingerprints.
func (table *Table) RemoveExpired(now int64) []Fingerprint {
	removed := table.removeExpired(now)
	if len(removed) > 0 {
		table.updateDenials()
	}
	return removed
}

func (table *Table) removeExpired(now int64) []Fingerprint {
	var removed []Fingerprint
	for fingerprint, record := range table.records {
		if isExpired(record.lastSeenAt(), now) {
			table.remove(fingerprint)
			removed = append(removed, fingerprint)
		}
	}
	return removed
}

func isExpired(seenAt, now int64) bool {
	return time.Duration(now-seenAt)*time.Millisecond > retention
}

// enforceLimits drops the weakest records while there are more than maxSuspected or maxDenied.
func (table *Table) enforceLimits() {
	for len(table.records)-len(table.denials) > maxSuspected {
		table.dropWeakest(false)
	}
	for len(table.denials) > maxDenied {
		table.dropWeakest(true)
	}
}

// dropWeakest drops one record, of a denied request or of one that is not: the one with the fewest crashes, and of
// these the oldest.
func (table *Table) dropWeakest(denied bool) {
	var weakest *Record
	for fingerprint, record := range table.records {
		_, isDenied := table.denials[fingerprint]
		if isDenied == denied && (weakest == nil || record.isWeakerThan(weakest)) {
			weakest = record
		}
	}
	table.remove(weakest.Fingerprint)
}

func (table *Table) remove(fingerprint Fingerprint) {
	delete(table.records, fingerprint)
	delete(table.denials, fingerprint)
	delete(table.observedLocally, fingerprint)
	target := fingerprint.Target()
	table.targetCounts[target]--
	if table.targetCounts[target] == 0 {
		delete(table.targetCounts, target)
	}
}

// isWeakerThan reports whether a record has fewer crashes than another, or as many but older ones. Fingerprints break
// ties, so that all hosts drop the same records.
func (record *Record) isWeakerThan(other *Record) bool {
	return cmp.Or(
		cmp.Compare(record.maxUnanswered(), other.maxUnanswered()),
		cmp.Compare(record.lastSeenAt(), other.lastSeenAt()),
		bytes.Compare(record.Fingerprint[:], other.Fingerprint[:]),
	) < 0
}
