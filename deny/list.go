package deny

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/poison"
)

// Evidence is what showed that an upstream's process had ended.
type Evidence string

// The kinds of evidence, as they stand in logs.
const (
	// ConnectionRefused means that a connection to its address was refused.
	ConnectionRefused Evidence = "connection refused"
	// EntryGone means that its entry was gone, or another process had its address.
	EntryGone Evidence = "entry gone"
)

// Settings is what a List needs of its host; what is nil is not asked or told.
type Settings struct {
	Clock  cherrykeel.Clock
	Logger *zap.Logger
	// IsConnectionRefused asks for a connection to an address and reports whether it was refused.
	IsConnectionRefused func(address string) bool
	// HasAnnouncedShutdown reports whether an upstream's life had said that it would end.
	HasAnnouncedShutdown func(life poison.Incarnation) bool
	// Announce passes on to the other hosts what this host has seen itself, and Keep writes it where hosts find it
	// that start later, from so many ends on.
	Announce          func(record poison.Record)
	Store             func(record poison.Record)
	MinCrashesToStore int
}

// List is one host's list.
type List struct {
	Settings
	prober *prober

	mutex    sync.Mutex
	detector poison.CrashDetector
	table    *poison.Table
	// hasPending says that the witness keeps breaks and known that the table has records, so that requests need not take
	// the lock on usual days.
	hasPending atomic.Bool
	hasRecords atomic.Bool
	// denialAdded is closed when one more request is refused.
	denialAdded chan struct{}
	// refusalCount counts what was not sent.
	refusalCount atomic.Int64
}

// New returns an empty list.
func New(settings Settings) *List {
	if settings.IsConnectionRefused == nil {
		settings.IsConnectionRefused = func(string) bool { return false }
	}
	if settings.HasAnnouncedShutdown == nil {
		settings.HasAnnouncedShutdown = func(poison.Incarnation) bool { return false }
	}
	if settings.Announce == nil {
		settings.Announce = func(poison.Record) {}
	}
	if settings.Store == nil {
		settings.Store = func(poison.Record) {}
	}
	list := &List{Settings: settings, table: poison.NewTable(), denialAdded: make(chan struct{})}
	list.prober = newProber(list.probe)
	return list
}

// IsEmpty reports whether nothing is known of any request.
func (list *List) IsEmpty() bool {
	return !list.hasRecords.Load()
}

// hasTarget reports whether anything is known of requests for a target.
func (list *List) hasTarget(target poison.Target) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.table.HasTarget(target)
}

func (list *List) denied(identity poison.Fingerprint, marks []poison.CallerFingerprint) (time.Duration, bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if !list.table.IsDenied(identity, marks...) {
		return 0, false
	}
	list.refusalCount.Add(1)
	left := time.Duration(list.table.ExpiresAt(identity)-list.unixMillis()) * time.Millisecond
	return max(0, left), true
}

func (list *List) isSuspected(identity poison.Fingerprint, marks []poison.CallerFingerprint) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.table.IsSuspected(identity, marks...)
}

// DenialAdded returns a channel that is closed when one more request is refused.
func (list *List) DenialAdded() <-chan struct{} {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.denialAdded
}

// Records returns all that is known, for a host that knows nothing yet.
func (list *List) Records() []poison.Record {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.table.Records()
}

// Find returns what is known of a request.
func (list *List) Find(identity poison.Fingerprint) (poison.Record, bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.table.Find(identity)
}

// UpdateMetrics shows in a host's metrics how many requests are denied and suspected, and how often one was refused.
func (list *List) UpdateMetrics(scope tally.Scope) {
	list.mutex.Lock()
	refused, known := list.table.Counts()
	list.mutex.Unlock()
	scope.Gauge("denied_requests").Update(float64(refused))
	scope.Gauge("suspected_requests").Update(float64(known - refused))
	scope.Gauge("denied_refusals").Update(float64(list.refusalCount.Load()))
}

// RemoveExpired drops what is too old, and returns what it dropped.
func (list *List) RemoveExpired() []poison.Fingerprint {
	if list.IsEmpty() {
		return nil
	}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	dropped := list.table.RemoveExpired(list.unixMillis())
	list.updateHasRecords()
	return dropped
}

// updateHasRecords keeps known right; List.mutex is held.
func (list *List) updateHasRecords() {
	_, known := list.table.Counts()
	list.hasRecords.Store(known > 0)
}

// unixMillis is the time of day by which ends are told, in Unix milliseconds.
func (list *List) unixMillis() int64 {
	return list.Clock.Wall().UnixMilli()
}

// Merge takes what another host has seen.
func (list *List) Merge(record poison.Record) {
	list.mutex.Lock()
	before := list.table.DenialScope(record.Fingerprint)
	merged, news := list.table.Merge(record, list.unixMillis())
	if news {
		list.signalIfWider(record.Fingerprint, before)
	}
	list.mutex.Unlock()
	if news {
		list.logScopeChange(merged, before)
	}
}

// MergeStored takes the newest record that is kept of a request. Of two hosts that write at the same moment the later
// one's record stands, without what only the other has seen; whoever has seen it writes all that is known again.
// Hosts that start later would know too little, and send the request on once more often for each end that they lack.
func (list *List) MergeStored(kept poison.Record) {
	list.Merge(kept)
	list.mutex.Lock()
	known, exists := list.table.Find(kept.Fingerprint)
	lacks := exists && list.table.IsObservedLocally(kept.Fingerprint) && kept.NeedsMerge(known)
	list.mutex.Unlock()
	if lacks {
		list.Store(known)
	}
}

// signalIfWider wakes those that wait if a request is refused that was not; List.mutex is held.
func (list *List) signalIfWider(identity poison.Fingerprint, before poison.DenialScope) {
	list.updateHasRecords()
	if list.table.DenialScope(identity).IsWiderThan(before) {
		close(list.denialAdded)
		list.denialAdded = make(chan struct{})
	}
}

func (list *List) logScopeChange(record poison.Record, before poison.DenialScope) {
	list.mutex.Lock()
	extent := list.table.DenialScope(record.Fingerprint)
	list.mutex.Unlock()
	if extent == before {
		return
	}
	event := events.RequestCleared
	if extent.IsWiderThan(before) {
		event = events.RequestDenied
	}
	events.Log(list.Logger, event,
		zap.Stringer("Identity", record.Fingerprint), zap.Bool("All", extent.AllCallers), zap.Int("Callers", extent.CallerCount), zap.String("Service", record.Service), zap.Any("Ends", record.Crashes))
}
