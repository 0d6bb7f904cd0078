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
	// deadlyTrials is how many of these have to come of one send after another before a request is refused to all, or to all behind an address.
	deadlyTrials = 2
	// remembered is for how long after its last end a request is known. Refused for that long, it may end three more
	// upstreams an hour; a caller that is refused wrongly is denied no longer.
	remembered = time.Hour
	// maxSuspects and maxRefused bound what is kept, apart from each other: however many requests stand at one end or
	// two, they push out none that is refused. A record takes some 600 bytes
	// at one end, and 24 KB with all the ends and marks there is room for.
	maxSuspects = 512
	maxRefused  = 1024
)

// Table keeps which requests were at work when upstreams ended, as all hosts together have seen it.
type Table struct {
	records map[Fingerprint]*Record
	refused map[Fingerprint]denial
	// targets counts the records by what their requests ask for.
	targets map[Target]int
	// own are the requests of which this host has seen something itself.
	own map[Fingerprint]bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Fingerprint]*Record{}, refused: map[Fingerprint]denial{}, targets: map[Target]int{}, own: map[Fingerprint]bool{}}
}

// RecordCrash takes an end that this host has seen, and returns the request's record if it is news.
func (table *Table) RecordCrash(found UnansweredAttempt, at int64) (Record, bool) {
	end := Crash{Incarnation: found.Incarnation, SeenAt: at, SentAt: at - found.EndedAt.Sub(found.SentAt).Milliseconds()}
	for _, mark := range found.CallerFingerprints {
		end.note(mark, false)
	}
	record, news := table.Merge(Record{Fingerprint: found.Fingerprint, Service: found.Service, Crashes: []Crash{end}}, at)
	_, kept := table.records[found.Fingerprint]
	if news && kept {
		table.own[found.Fingerprint] = true
	}
	return record, news
}

// IsObservedLocally reports whether this host has seen something of a request itself, and has not only been told.
func (table *Table) IsObservedLocally(identity Fingerprint) bool {
	return table.own[identity]
}

// Merge takes what another host has seen, and returns all that is known of the request if it is news.
func (table *Table) Merge(told Record, now int64) (Record, bool) {
	record, known := table.records[told.Fingerprint]
	if !known {
		record = &Record{Fingerprint: told.Fingerprint, Service: told.Service}
	}
	news := false
	for _, end := range told.Crashes {
		if !forgotten(end.SeenAt, now) {
			news = record.add(end) || news
		}
	}
	if !news {
		return Record{}, false
	}
	if !known {
		table.records[told.Fingerprint] = record
		table.targets[told.Fingerprint.Target()]++
	}
	table.forget(now)
	table.judge()
	table.bound()
	return record.clone(), true
}

// RecordAnswer takes it that an upstream has run a caller's request to its end: those that have ended others did not by
// what all callers send alike, nor by this one's. It returns the request's record if it is news.
func (table *Table) RecordAnswer(identity Fingerprint, marks ...CallerFingerprint) (Record, bool) {
	record, known := table.records[identity]
	if !known || !record.withdraw(marks) {
		return Record{}, false
	}
	table.own[identity] = true
	table.judge()
	return record.clone(), true
}

// IsDenied reports whether a caller's request is not to be sent to any upstream.
func (table *Table) IsDenied(identity Fingerprint, marks ...CallerFingerprint) bool {
	return table.refused[identity].holds(marks)
}

// DenialScope returns for whom a request is refused.
func (table *Table) DenialScope(identity Fingerprint) DenialScope {
	return table.refused[identity].extent()
}

// HasTarget reports whether anything is known of a request that asks for a target: if not, its whole identity need not
// be worked out.
func (table *Table) HasTarget(target Target) bool {
	return table.targets[target] > 0
}

// IsSuspected reports whether a caller's request stands at any end.
func (table *Table) IsSuspected(identity Fingerprint, marks ...CallerFingerprint) bool {
	record, known := table.records[identity]
	if !known {
		return false
	}
	return slices.ContainsFunc(record.Crashes, func(end Crash) bool {
		return !end.Answered || slices.ContainsFunc(marks, end.stands)
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
	return len(table.refused), len(table.records)
}

// ExpiresAt returns when a request is forgotten, in Unix milliseconds.
func (table *Table) ExpiresAt(identity Fingerprint) int64 {
	record, known := table.records[identity]
	if !known {
		return 0
	}
	return record.newest() + remembered.Milliseconds()
}

// RemoveExpired drops what is too old, and returns what it dropped.
func (table *Table) RemoveExpired(now int64) []Fingerprint {
	dropped := table.forget(now)
	if len(dropped) > 0 {
		table.judge()
	}
	return dropped
}

func (table *Table) forget(now int64) []Fingerprint {
	var dropped []Fingerprint
	for identity, record := range table.records {
		if forgotten(record.newest(), now) {
			table.remove(identity)
			dropped = append(dropped, identity)
		}
	}
	return dropped
}

func forgotten(at, now int64) bool {
	return time.Duration(now-at)*time.Millisecond > remembered
}

// bound drops the requests that say least while there are too many.
func (table *Table) bound() {
	for len(table.records)-len(table.refused) > maxSuspects {
		table.drop(false)
	}
	for len(table.refused) > maxRefused {
		table.drop(true)
	}
}

// drop drops one request, refused or not: that with the fewest ends, and the oldest of these.
func (table *Table) drop(refused bool) {
	var least *Record
	for identity, record := range table.records {
		_, found := table.refused[identity]
		if found == refused && (least == nil || record.less(least)) {
			least = record
		}
	}
	table.remove(least.Fingerprint)
}

func (table *Table) remove(identity Fingerprint) {
	delete(table.records, identity)
	delete(table.refused, identity)
	delete(table.own, identity)
	target := identity.Target()
	table.targets[target]--
	if table.targets[target] == 0 {
		delete(table.targets, target)
	}
}

// less reports whether a record says less than another; equal ones have an order too, the same at each host.
func (record *Record) less(other *Record) bool {
	return cmp.Or(
		cmp.Compare(record.strength(), other.strength()),
		cmp.Compare(record.newest(), other.newest()),
		bytes.Compare(record.Fingerprint[:], other.Fingerprint[:]),
	) < 0
}
