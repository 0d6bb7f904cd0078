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

// SpansKey is the one key of the topic with the table of spans.
const SpansKey = "table"

// grantTime is about what the keeper needs from writing a new owner to granting it the keys. A request
// that is sent sooner is refused and sent again, at the cost of the retry budget.
const grantDelay = 12 * time.Millisecond

// longestHold is assumed until the platform's bound is known.
const defaultMaxLeaseDuration = 10 * time.Second

// Spans keeps the newest table of key spans.
type Spans struct {
	clock    cherrykeel.Clock
	logger   *zap.Logger
	onChange func()
	announce func(change spans.Table, before int64)

	mutex   sync.Mutex
	table   spans.Table
	next    int64
	hasRead bool
	// garbled says that the newest record of the table cannot be read, since when.
	corrupt      bool
	corruptSince cherrykeel.Instant
	// longest is the longest hold that a keeper may grant.
	maxLeaseDuration func() time.Duration
	// fresh has the spans that got another owner a moment ago.
	reassigned []reassignedSpan
}

type reassignedSpan struct {
	service string
	span    cherrykeel.KeySpan
	until   cherrykeel.Instant
}

// NewSpans returns a view of the table; change is called after each newer one, and tell with what
// it changed, and the version before, if this host wrote or read it itself.
func NewSpans(clock cherrykeel.Clock, logger *zap.Logger, onChange func(), announce func(change spans.Table, before int64)) *Spans {
	return &Spans{maxLeaseDuration: func() time.Duration { return defaultMaxLeaseDuration }, clock: clock, logger: logger, onChange: onChange, announce: announce, table: spans.Table{Version: -1, Term: -1}}
}

// ApplyOwnWrite takes a table that this host has written.
func (view *Spans) ApplyOwnWrite(value []byte, offset int64) {
	view.Apply(Update{Records: []cherrykeel.KeyedRecord{{Key: SpansKey, Value: value, Offset: offset}}, Next: offset + 1})
}

// Apply takes what the topic brought.
func (view *Spans) Apply(update Update) {
	view.mutex.Lock()
	before := view.table
	for _, record := range update.Records {
		view.applyRecord(record)
		view.next = max(view.next, record.Offset+1)
	}
	if !update.FromPeer {
		// What others tell is newer than nothing, but only a read of one's own shows that nothing is newer.
		view.next = max(view.next, update.Next)
		view.hasRead = true
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

// ApplyChange takes a change that another host told, if it follows the version known; it reports whether the
// table is at the change's version now.
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
	view.mutex.Unlock()
	view.onChange()
	return true
}

func (view *Spans) applyRecord(record cherrykeel.KeyedRecord) {
	if record.Key != SpansKey || record.Offset <= view.table.Version {
		return
	}
	table, err := spans.Decode(record.Value, record.Offset)
	if err != nil {
		view.recordCorrupt(record, err)
		return
	}
	view.corrupt = false
	view.recordReassigned(table)
	view.table = table
}

// noteGarbled takes note of a record in the table's place that is none.
func (view *Spans) recordCorrupt(record cherrykeel.KeyedRecord, err error) {
	if !view.corrupt {
		view.corrupt = true
		view.corruptSince = view.clock.Now()
		events.Log(view.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
	}
}

// Version returns where the newest table stands, or -1.
func (view *Spans) Version() int64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.table.Version
}

// IsCorrupt reports whether the newest record in the table's place cannot be read. Its keeper knows the table and
// writes it again.
func (view *Spans) IsCorrupt() bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.corrupt
}

// SetMaxLeaseDuration tells where the longest hold is read.
func (view *Spans) SetMaxLeaseDuration(maxLeaseDuration func() time.Duration) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.maxLeaseDuration = maxLeaseDuration
}

// blind reports whether there may be owners that this host cannot know of: the table's record is another writer's,
// and this host has read no table before. Claimed now, all keys would go to new owners beside the old ones; once the
// longest hold has passed that nobody could renew under a table that nobody can read, none is left.
func (view *Spans) hasUnknownOwners() bool {
	if !view.corrupt || view.table.Version >= 0 {
		return false
	}
	return view.clock.Now().Sub(view.corruptSince) < 2*view.maxLeaseDuration()
}

// refresh notes which spans of the next table have another owner than before.
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
			if known && before.Owner == owned.Owner && !before.Moving {
				continue
			}
			view.reassigned = append(view.reassigned, reassignedSpan{service: service, span: owned.Span(), until: now.Add(grantDelay)})
		}
	}
}

// Owner returns who has a key, as the scheduler asks for it.
func (view *Spans) Owner(service string, key int) flow.Owner {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	owned, known := view.table.Find(service, key)
	if !known {
		return flow.Owner{}
	}
	owner := flow.Owner{ID: owned.Owner, InTransfer: owned.Moving, Fence: owned.Fence}
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

// Current returns the table and the offset at which the next one would stand; false until the topic was read.
func (view *Spans) Current() (spans.Table, int64, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.table, view.next, view.hasRead && !view.hasUnknownOwners()
}
