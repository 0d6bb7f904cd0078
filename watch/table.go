package watch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/flow"
	"cherrykeel/spans"
)

// SpansKey is the only key of the topic that holds the table of spans.
const SpansKey = "table"

// grantDelay is about the time from the keeper's write of a new owner to the grant of the keys to it. A request that is
// sent earlier is refused and sent again, which uses up the retry budget.
const grantDelay = 12 * time.Millisecond

// defaultMaxLeaseDuration is assumed until the platform's bound is known.
const defaultMaxLeaseDuration = 10 * time.Second

// Spans holds the newest table of key spans.
type Spans struct {
	clock    cherrykeel.Clock
	logger   *zap.Logger
	onChange func()
	announce func(change spans.Table, before int64)

	mutex   sync.Mutex
	table   spans.Table
	next    int64
	hasRead bool
	// corrupt means that the newest record of the table cannot be decoded, corruptSince is when this host found that.
	corrupt      bool
	corruptSince cherrykeel.Instant
	// readThrough is the position of the newest record of the table that was read or received.
	readThrough int64
	// outdated means that the store's newest record is an older table than this one: the store came back from a copy, or
	// an append was carried out late.
	outdated bool
	// fromCopy means that this host knows the table only from a store that had come back from a copy since it was
	// written: later tables may be lost.
	fromCopy bool
	// maxLeaseDuration returns the longest lease duration that a keeper may grant.
	maxLeaseDuration func() time.Duration
	// reassigned holds the spans that have got another owner recently.
	reassigned []reassignedSpan
}

// reassignedSpan is a span with a new owner, which may lack its grant until an instant.
type reassignedSpan struct {
	service string
	span    cherrykeel.KeySpan
	until   cherrykeel.Instant
}

// NewSpans returns a view of the table. It calls onChange after each newer table, and announce with its changes and the
// version before if this host has written or read the table itself.
func NewSpans(clock cherrykeel.Clock, logger *zap.Logger, onChange func(), announce func(change spans.Table, before int64)) *Spans {
	return &Spans{maxLeaseDuration: func() time.Duration { return defaultMaxLeaseDuration }, clock: clock, logger: logger, onChange: onChange, announce: announce, table: spans.Table{Version: -1, Term: -1}, readThrough: -1}
}

// ApplyOwnWrite applies a table that this host has written.
func (view *Spans) ApplyOwnWrite(value []byte, offset int64) {
	view.Apply(Update{Records: []cherrykeel.KeyedRecord{{Key: SpansKey, Value: value, Offset: offset}}, Next: offset + 1})
}

// Apply applies an update of the topic.
func (view *Spans) Apply(update Update) {
	view.mutex.Lock()
	before := view.table
	for _, record := range update.Records {
		view.applyRecord(record)
		view.next = max(view.next, record.Offset+1)
	}
	if update.Restored && len(update.Records) == 0 {
		view.outdated = view.table.Version >= 0
	}
	if !update.FromPeer {
		// Only a read of this host's own shows that no newer table exists; records from other hosts do not.
		view.next = max(view.next, update.Next)
		view.hasRead = true
		if cherrykeel.EraOf(view.next) == cherrykeel.EraOf(view.table.Term) {
			view.fromCopy = false
		}
	}
	table := view.table
	view.mutex.Unlock()
	if table.Version == before.Version {
		return
	}
	view.onChange()
	if !update.FromPeer {
		view.announce(table.Diff(before), before.Version)
	}
}

// ApplyChange applies a change that another host has sent, if it is based on the version that this view has. It reports
// whether the table has the change's version, or a newer one, afterwards.
func (view *Spans) ApplyChange(change spans.Table, before int64) bool {
	view.mutex.Lock()
	if change.Version <= view.table.Version {
		view.mutex.Unlock()
		return true
	}
	if view.table.Version != before {
		view.mutex.Unlock()
		return false
	}
	table := view.table.Apply(change)
	view.recordReassigned(table)
	view.table = table
	// The sender may know the table from the copy alone, as this host does.
	view.fromCopy = !view.hasRead || cherrykeel.EraOf(view.next) > cherrykeel.EraOf(table.Term)
	view.outdated = view.outdated && view.readThrough > table.Version
	view.readThrough = max(view.readThrough, table.Version)
	view.mutex.Unlock()
	view.onChange()
	return true
}

func (view *Spans) applyRecord(record cherrykeel.KeyedRecord) {
	if record.Key != SpansKey || record.Offset <= view.readThrough {
		return
	}
	view.readThrough = record.Offset
	table, err := spans.Decode(record.Value, record.Offset)
	if err != nil {
		view.recordCorrupt(record, err)
		return
	}
	view.corrupt = false
	view.outdated = table.Version < view.table.Version
	if table.Version <= view.table.Version {
		return
	}
	view.fromCopy = cherrykeel.EraOf(record.Offset) > cherrykeel.EraOf(table.Term)
	view.recordReassigned(table)
	view.table = table
}

// recordCorrupt records and logs that the table's record cannot be decoded.
func (view *Spans) recordCorrupt(record cherrykeel.KeyedRecord, err error) {
	if !view.corrupt {
		view.corrupt = true
		view.corruptSince = view.clock.Now()
		events.Log(view.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
	}
}

// Version returns the version of the newest table, or -1.
func (view *Spans) Version() int64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.table.Version
}

// IsCorrupt reports whether the newest record of the table cannot be decoded, or holds an older table. The keeper has the
// table and writes it again.
func (view *Spans) IsCorrupt() bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.corrupt || view.outdated
}

// IsFromCopy reports whether this host knows the table only from a store that had come back from a copy since it was
// written, so that later tables may be lost.
func (view *Spans) IsFromCopy() bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.fromCopy || view.table.Version < 0 && cherrykeel.EraOf(view.next) > 0
}

// SetMaxLeaseDuration sets the function that returns the longest lease duration.
func (view *Spans) SetMaxLeaseDuration(maxLeaseDuration func() time.Duration) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.maxLeaseDuration = maxLeaseDuration
}

// hasUnknownOwners reports whether there may be owners that this host cannot know of: another writer has overwritten
// the table's record, and this host has read no table before. If it claimed now, it would grant all keys to new owners
// beside the old ones. No lease can be renewed under a table that cannot be decoded, so that none is left after twice
// the longest lease duration.
func (view *Spans) hasUnknownOwners() bool {
	if !view.corrupt || view.table.Version >= 0 {
		return false
	}
	return view.clock.Now().Sub(view.corruptSince) < 2*view.maxLeaseDuration()
}

// recordReassigned records which spans of the next table have another owner than now, or are in transfer now.
func (view *Spans) recordReassigned(next spans.Table) {
	now := view.clock.Now()
	kept := view.reassigned[:0]
	for _, reassigned := range view.reassigned {
		if reassigned.until > now {
			kept = append(kept, reassigned)
		}
	}
	view.reassigned = kept
	for service, list := range next.Services {
		for _, owned := range list {
			before, known := view.table.Find(service, owned.First)
			if known && before.Owner == owned.Owner && !before.InTransfer {
				continue
			}
			view.reassigned = append(view.reassigned, reassignedSpan{service: service, span: owned.Span(), until: now.Add(grantDelay)})
		}
	}
}

// Owner returns the owner of a key, for the scheduler. A new owner's keys count as in transfer for grantDelay.
func (view *Spans) Owner(service string, key int) flow.Owner {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	owned, known := view.table.Find(service, key)
	if !known {
		return flow.Owner{}
	}
	owner := flow.Owner{ID: owned.Owner, InTransfer: owned.InTransfer, Fence: owned.Fence}
	if len(view.reassigned) == 0 || owner.InTransfer {
		return owner
	}
	now := view.clock.Now()
	for _, reassigned := range view.reassigned {
		if reassigned.service == service && reassigned.until > now && reassigned.span.Contains(key) {
			owner.InTransfer = true
		}
	}
	return owner
}

// Current returns the table and the offset that the next one will get; false until the topic has been read, and while
// there may be unknown owners.
func (view *Spans) Current() (spans.Table, int64, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.table, view.next, view.hasRead && !view.hasUnknownOwners()
}
