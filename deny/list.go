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

// Evidence is how a host detected that an upstream's process had ended, as logged.
type Evidence string

// The kinds of evidence.
const (
	// ConnectionRefused means that a connection to the upstream's address was refused.
	ConnectionRefused Evidence = "connection refused"
	// EntryGone means that the upstream's entry was removed, or that another process had its address.
	EntryGone Evidence = "entry gone"
)

// Settings holds what a List needs of its host. Callbacks may be nil.
type Settings struct {
	Clock  cherrykeel.Clock
	Logger *zap.Logger
	// IsConnectionRefused opens a connection to an address and reports whether it was refused.
	IsConnectionRefused func(address string) bool
	// HasAnnouncedShutdown reports whether an incarnation had announced its graceful shutdown before it ended.
	HasAnnouncedShutdown func(incarnation poison.Incarnation) bool
	// Announce sends what this host has observed itself to the other hosts.
	Announce func(record poison.Record)
	// Store stores a record where hosts that start later read it. It is called for records with at least
	// MinCrashesToStore crashes.
	Store             func(record poison.Record)
	MinCrashesToStore int
}

// List holds one host's suspected and denied requests, and its unanswered attempts. It is safe for concurrent use.
type List struct {
	Settings
	prober *prober

	mutex    sync.Mutex
	detector poison.CrashDetector
	table    *poison.Table
	// hasPending is set while the detector holds attempts, and hasRecords while the table has records. With neither, as
	// is usual, requests need not acquire the mutex.
	hasPending atomic.Bool
	hasRecords atomic.Bool
	// recentCrashes are those that a refused connection has shown lately; hasRecentCrashes is set while there are any.
	recentCrashes    []recentCrash
	hasRecentCrashes atomic.Bool
	// denialAdded is closed and replaced when a denial is added or widened.
	denialAdded chan struct{}
	// refusalCount counts how often a denied request was not sent.
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

// IsEmpty reports whether there is no record of any request.
func (list *List) IsEmpty() bool {
	return !list.hasRecords.Load()
}

// hasTarget reports whether there is a record of any request for a target.
func (list *List) hasTarget(target poison.Target) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.table.HasTarget(target)
}

// denied returns for how much longer a request is denied to a caller, and whether it is.
func (list *List) denied(fingerprint poison.Fingerprint, callers []poison.CallerFingerprint) (time.Duration, bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if !list.table.IsDenied(fingerprint, callers...) {
		return 0, false
	}
	list.refusalCount.Add(1)
	remaining := time.Duration(list.table.ExpiresAt(fingerprint)-list.unixMillis()) * time.Millisecond
	return max(0, remaining), true
}

func (list *List) isSuspected(fingerprint poison.Fingerprint, callers []poison.CallerFingerprint) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.table.IsSuspected(fingerprint, callers...)
}

// DenialAdded returns a channel that is closed the next time that a request is denied to more callers than before.
func (list *List) DenialAdded() <-chan struct{} {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.denialAdded
}

// Records returns all records, for a host that has none yet.
func (list *List) Records() []poison.Record {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.table.Records()
}

// Find returns a request's record, and whether there is one.
func (list *List) Find(fingerprint poison.Fingerprint) (poison.Record, bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.table.Find(fingerprint)
}

// UpdateMetrics sets the gauges of denied and suspected requests, and of how often a denied request was not sent.
func (list *List) UpdateMetrics(scope tally.Scope) {
	list.mutex.Lock()
	denied, total := list.table.Counts()
	list.mutex.Unlock()
	scope.Gauge("denied_requests").Update(float64(denied))
	scope.Gauge("suspected_requests").Update(float64(total - denied))
	scope.Gauge("denied_refusals").Update(float64(list.refusalCount.Load()))
}

// RemoveExpired removes expired records and returns their fingerprints.
func (list *List) RemoveExpired() []poison.Fingerprint {
	if list.IsEmpty() {
		return nil
	}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	removed := list.table.RemoveExpired(list.unixMillis())
	list.updateHasRecords()
	return removed
}

// updateHasRecords updates hasRecords from the table; the caller holds List.mutex.
func (list *List) updateHasRecords() {
	_, total := list.table.Counts()
	list.hasRecords.Store(total > 0)
}

// unixMillis returns the wall-clock time, in Unix milliseconds, by which crashes are recorded.
func (list *List) unixMillis() int64 {
	return list.Clock.Wall().UnixMilli()
}

// Merge merges a record received from another host.
func (list *List) Merge(record poison.Record) {
	list.mutex.Lock()
	before := list.table.DenialScope(record.Fingerprint)
	merged, changed := list.table.Merge(record, list.unixMillis())
	if changed {
		list.signalIfWider(record.Fingerprint, before)
	}
	list.mutex.Unlock()
	if changed {
		list.logScopeChange(merged, before)
	}
}

// MergeStored merges the latest stored record of a request. If two hosts store records at the same time, the later
// one replaces the earlier one and lacks what only the other host observed. So a host that has observed something of the
// request itself stores the merged record again if the stored one is incomplete. Otherwise, hosts that start later would
// send the request once more for each crash that is missing.
func (list *List) MergeStored(stored poison.Record) {
	list.Merge(stored)
	list.mutex.Lock()
	merged, exists := list.table.Find(stored.Fingerprint)
	incomplete := exists && list.table.IsObservedLocally(stored.Fingerprint) && stored.NeedsMerge(merged)
	list.mutex.Unlock()
	if incomplete {
		list.Store(merged)
	}
}

// signalIfWider updates hasRecords, and closes denialAdded if a request is denied to more callers than before; the
// caller holds List.mutex.
func (list *List) signalIfWider(fingerprint poison.Fingerprint, before poison.DenialScope) {
	list.updateHasRecords()
	if list.table.DenialScope(fingerprint).IsWiderThan(before) {
		close(list.denialAdded)
		list.denialAdded = make(chan struct{})
	}
}

// logScopeChange logs a request's denial or the end of it, if its scope has changed.
func (list *List) logScopeChange(record poison.Record, before poison.DenialScope) {
	list.mutex.Lock()
	scope := list.table.DenialScope(record.Fingerprint)
	list.mutex.Unlock()
	if scope == before {
		return
	}
	event := events.RequestCleared
	if scope.IsWiderThan(before) {
		event = events.RequestDenied
	}
	events.Log(list.Logger, event,
		zap.Stringer("Identity", record.Fingerprint), zap.Bool("All", scope.AllCallers), zap.Int("Callers", scope.CallerCount), zap.String("Service", record.Service), zap.Any("Ends", record.Crashes))
}
