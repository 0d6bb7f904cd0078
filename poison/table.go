package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// CrashesToDeny is how many ends of upstreams a request stands at before it is refused. Fewer would refuse what merely
	// was at work beside others; each one more costs an upstream with all that runs there.
	CrashesToDeny = 3
	// independentCrashesToDeny is how many of these have to come of one send after another before a request is refused to all, or to all behind an address.
	independentCrashesToDeny = 2
	// retention is for how long after its last end a request is known. Refused for that long, it may end three more
	// upstreams an hour; a caller that is refused wrongly is denied no longer.
	retention = time.Hour
	// maxSuspected and maxRefused bound what is kept, apart from each other: however many requests stand at one end or
	// two, they push out none that is refused. A record takes some 600 bytes
	// at one end, and 24 KB with all the ends and marks there is room for.
	maxSuspected = 512
	maxDenied    = 1024
)

// Table keeps which requests were at work when upstreams ended, as all hosts together have seen it.
type Table struct {
	records map[Fingerprint]*Record
	denials map[Fingerprint]denial
	// targetCounts counts the records by what their requests ask for.
	targetCounts map[Target]int
	// observedLocally are the requests of which this host has seen something itself.
	observedLocally map[Fingerprint]bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Fingerprint]*Record{}, denials: map[Fingerprint]denial{}, targetCounts: map[Target]int{}, observedLocally: map[Fingerprint]bool{}}
}

// RecordCrash takes an end that this host has seen, and returns the request's record if it is news.
func (table *Table) RecordCrash(found UnansweredAttempt, at int64) (Record, bool) {
	end := Crash{Incarnation: found.Incarnation, SeenAt: at, SentAt: at - found.EndedAt.Sub(found.SentAt).Milliseconds()}
	for _, mark := range found.CallerFingerprints {
		end.recordCaller(mark, false)
	}
	record, news := table.Merge(Record{Fingerprint: found.Fingerprint, Service: found.Service, Crashes: []Crash{end}}, at)
	_, kept := table.records[found.Fingerprint]
	if news && kept {
		table.observedLocally[found.Fingerprint] = true
	}
	return record, news
}

// IsObservedLocally reports whether this host has seen something of a request itself, and has not only been told.
func (table *Table) IsObservedLocally(identity Fingerprint) bool {
	return table.observedLocally[identity]
}

// Merge takes what another host has seen, and returns all that is known of the request if it is news.
func (table *Table) Merge(told Record, now int64) (Record, bool) {
	record, known := table.records[told.Fingerprint]
	if !known {
		record = &Record{Fingerprint: told.Fingerprint, Service: told.Service}
	}
	news := false
	for _, end := range told.Crashes {
		if !isExpired(end.SeenAt, now) {
			news = record.addCrash(end) || news
		}
	}
	if !news {
		return Record{}, false
	}
	if !known {
		table.records[told.Fingerprint] = record
		table.targetCounts[told.Fingerprint.Target()]++
	}
	table.removeExpired(now)
	table.updateDenials()
	table.enforceLimits()
	return record.clone(), true
}

// RecordAnswer takes it that an upstream has run a caller's request to its end: those that have ended others did not by
// what all callers send alike, nor by this one's. It returns the request's record if it is news.
func (table *Table) RecordAnswer(identity Fingerprint, marks ...CallerFingerprint) (Record, bool) {
	record, known := table.records[identity]
	if !known || !record.markAnswered(marks) {
		return Record{}, false
	}
	table.observedLocally[identity] = true
	table.updateDenials()
	return record.clone(), true
}

// IsDenied reports whether a caller's request is not to be sent to any upstream.
func (table *Table) IsDenied(identity Fingerprint, marks ...CallerFingerprint) bool {
	return table.denials[identity].appliesTo(marks)
}

// DenialScope returns for whom a request is refused.
func (table *Table) DenialScope(identity Fingerprint) DenialScope {
	return table.denials[identity].scope()
}

// HasTarget reports whether anything is known of a request that asks for a target: if not, its whole identity need not
// be worked out.
func (table *Table) HasTarget(target Target) bool {
	return table.targetCounts[target] > 0
}

// IsSuspected reports whether a caller's request stands at any end.
func (table *Table) IsSuspected(identity Fingerprint, marks ...CallerFingerprint) bool {
	record, known := table.records[identity]
	if !known {
		return false
	}
	return slices.ContainsFunc(record.Crashes, func(end Crash) bool {
		return !end.Answered || slices.ContainsFunc(marks, end.countsAgainst)
	})
}

// Find returns what is known of a request.
func (table *Table) Find(identity Fingerprint) (Record, bool) {
	record, known := table.records[identity]
	if !known {
		return Record{}, false
	}
	return record.clone(), true
}

// Records returns all that is known.
func (table *Table) Records() []Record {
	var records []Record
	for _, record := range table.records {
		records = append(records, record.clone())
	}
	return records
}

// Counts returns how many requests are refused, and how many are known in all.
func (table *Table) Counts() (refused, known int) {
	return len(table.denials), len(table.records)
}

// ExpiresAt returns when a request is forgotten, in Unix milliseconds.
func (table *Table) ExpiresAt(identity Fingerprint) int64 {
	record, known := table.records[identity]
	if !known {
		return 0
	}
	return record.lastSeenAt() + retention.Milliseconds()
}

// RemoveExpired drops what is too old, and returns what it dropped.
func (table *Table) RemoveExpired(now int64) []Fingerprint {
	dropped := table.removeExpired(now)
	if len(dropped) > 0 {
		table.updateDenials()
	}
	return dropped
}

func (table *Table) removeExpired(now int64) []Fingerprint {
	var dropped []Fingerprint
	for identity, record := range table.records {
		if isExpired(record.lastSeenAt(), now) {
			table.remove(identity)
			dropped = append(dropped, identity)
		}
	}
	return dropped
}

func isExpired(at, now int64) bool {
	return time.Duration(now-at)*time.Millisecond > retention
}

// enforceLimits drops the requests that say least while there are too many.
func (table *Table) enforceLimits() {
	for len(table.records)-len(table.denials) > maxSuspected {
		table.dropWeakest(false)
	}
	for len(table.denials) > maxDenied {
		table.dropWeakest(true)
	}
}

// dropWeakest drops one request, refused or not: that with the fewest ends, and the oldest of these.
func (table *Table) dropWeakest(refused bool) {
	var least *Record
	for identity, record := range table.records {
		_, found := table.denials[identity]
		if found == refused && (least == nil || record.isWeakerThan(least)) {
			least = record
		}
	}
	table.remove(least.Fingerprint)
}

func (table *Table) remove(identity Fingerprint) {
	delete(table.records, identity)
	delete(table.denials, identity)
	delete(table.observedLocally, identity)
	target := identity.Target()
	table.targetCounts[target]--
	if table.targetCounts[target] == 0 {
		delete(table.targetCounts, target)
	}
}

// isWeakerThan reports whether a record says less than another; equal ones have an order too, the same at each host.
func (record *Record) isWeakerThan(other *Record) bool {
	return cmp.Or(
		cmp.Compare(record.maxUnanswered(), other.maxUnanswered()),
		cmp.Compare(record.lastSeenAt(), other.lastSeenAt()),
		bytes.Compare(record.Fingerprint[:], other.Fingerprint[:]),
	) < 0
}
