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
const grantTime = 12 * time.Millisecond

// longestHold is assumed until the platform's bound is known.
const longestHold = 10 * time.Second

// Spans keeps the newest table of key spans.
type Spans struct {
	clock  cherrykeel.Clock
	logger *zap.Logger
	change func()
	tell   func(change spans.Table, before int64)

	mutex sync.Mutex
	table spans.Table
	next  int64
	known bool
	// garbled says that the newest record of the table cannot be read, since when.
	garbled   bool
	garbledAt cherrykeel.Instant
	// longest is the longest hold that a keeper may grant.
	longest func() time.Duration
	// fresh has the spans that got another owner a moment ago.
	fresh []freshSpan
}

type freshSpan struct {
	service string
	span    cherrykeel.KeySpan
	until   cherrykeel.Instant
}

// NewSpans returns a view of the table; change is called after each newer one, and tell with what
// it changed, and the version before, if this host wrote or read it itself.
func NewSpans(clock cherrykeel.Clock, logger *zap.Logger, change func(), tell func(change spans.Table, before int64)) *Spans {
	return &Spans{longest: func() time.Duration { return longestHold }, clock: clock, logger: logger, change: change, tell: tell, table: spans.Table{Version: -1, Term: -1}}
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
		view.take(record)
		view.next = max(view.next, record.Offset+1)
	}
	if !update.FromPeer {
		// What others tell is newer than nothing, but only a read of one's own shows that nothing is newer.
		view.next = max(view.next, update.Next)
		view.known = true
	}
	table := view.table
	view.mutex.Unlock()
	if table.Version == before.Version {
		return
	}
	view.change()
	if !update.FromPeer {
		view.tell(table.Diff(before), before.Version)
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
	view.refresh(table)
	view.table = table
	view.mutex.Unlock()
	view.change()
	return true
}

func (view *Spans) take(record cherrykeel.KeyedRecord) {
	if record.Key != SpansKey || record.Offset <= view.table.Version {
		return
	}
	table, err := spans.Decode(record.Value, record.Offset)
	if err != nil {
		view.noteGarbled(record, err)
		return
	}
	view.garbled = false
	view.refresh(table)
	view.table = table
}

// noteGarbled takes note of a record in the table's place that is none.
func (view *Spans) noteGarbled(record cherrykeel.KeyedRecord, err error) {
	if !view.garbled {
		view.garbled = true
		view.garbledAt = view.clock.Now()
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
	return view.garbled
}

// SetMaxLeaseDuration tells where the longest hold is read.
func (view *Spans) SetMaxLeaseDuration(longest func() time.Duration) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.longest = longest
}

// blind reports whether there may be owners that this host cannot know of: the table's record is another writer's,
// and this host has read no table before. Claimed now, all keys would go to new owners beside the old ones; once the
// longest hold has passed that nobody could renew under a table that nobody can read, none is left.
func (view *Spans) blind() bool {
	if !view.garbled || view.table.Version >= 0 {
		return false
	}
	return view.clock.Now().Sub(view.garbledAt) < 2*view.longest()
}

// refresh notes which spans of the next table have another owner than before.
func (view *Spans) refresh(next spans.Table) {
	now := view.clock.Now()
	kept := view.fresh[:0]
	for _, fresh := range view.fresh {
		if fresh.until > now {
			kept = append(kept, fresh)
		}
	}
	view.fresh = kept
	for service, list := range next.Services {
		for _, owned := range list {
			before, known := view.table.Find(service, owned.First)
			if known && before.Owner == owned.Owner && !before.Moving {
				continue
			}
			view.fresh = append(view.fresh, freshSpan{service: service, span: owned.Span(), until: now.Add(grantTime)})
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
	if len(view.fresh) == 0 || owner.InTransfer {
		return owner
	}
	now := view.clock.Now()
	for _, fresh := range view.fresh {
		if fresh.service == service && fresh.until > now && fresh.span.Contains(key) {
			owner.InTransfer = true
		}
	}
	return owner
}

// Current returns the table and the offset at which the next one would stand; false until the topic was read.
func (view *Spans) Current() (spans.Table, int64, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.table, view.next, view.known && !view.blind()
}
