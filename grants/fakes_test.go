package grants_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/spans"
)

const (
	longTimeout = "20s"
	service     = "halls"
	selfName    = "host-1"
)

// shiftedClock is the process's clock, which a test can set forward as a suspension would.
type shiftedClock struct {
	mutex sync.Mutex
	shift time.Duration
}

var start = time.Now()

func (clock *shiftedClock) Now() cherrykeel.Instant {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return cherrykeel.Instant(time.Since(start) + clock.shift + time.Hour)
}

func (clock *shiftedClock) Wall() time.Time { return time.Time{} }

// fakeStore is the log, the view of its table, and the Environment of one keeper.
type fakeStore struct {
	mutex       sync.Mutex
	table       spans.Table
	next        int64
	unavailable bool
	// recovering means that the store has just become available again.
	recovering bool
	loseReply  bool
	writes     int
	upstreams  []cherrykeel.Upstream
	ended      map[string]bool
	// shared has the addresses that another upstream is listed with.
	shared  map[string]bool
	rank    int
	corrupt bool
	// rests holds the rests that upstreams have asked for; they do not end.
	rests map[string]time.Duration
}

func newFakeStore(ids ...string) *fakeStore {
	store := &fakeStore{table: spans.Table{Version: -1, Term: -1}, ended: map[string]bool{}, shared: map[string]bool{}, rests: map[string]time.Duration{}}
	for _, id := range ids {
		store.upstreams = append(store.upstreams, cherrykeel.Upstream{ID: id, Service: service, Address: id, Slots: 3})
	}
	return store
}

func (store *fakeStore) Newest(context.Context) (cherrykeel.KeyedBatch, error) {
	return cherrykeel.KeyedBatch{}, nil
}

func (store *fakeStore) Read(context.Context, int64, time.Duration) (cherrykeel.KeyedBatch, error) {
	return cherrykeel.KeyedBatch{}, nil
}

func (store *fakeStore) Put(context.Context, string, []byte) (int64, error) { return 0, nil }

func (store *fakeStore) PutAt(_ context.Context, _ string, value []byte, at int64) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.writes++
	if store.unavailable {
		return errors.WithStack(cherrykeel.ErrStoreUnavailable)
	}
	if at != store.next {
		return errors.WithStack(cherrykeel.ErrConflict)
	}
	store.apply(value, at)
	if store.loseReply {
		return errors.WithStack(cherrykeel.ErrStoreUnavailable)
	}
	return nil
}

func (store *fakeStore) apply(value []byte, at int64) {
	table, err := spans.Decode(value, at)
	if err != nil || at < store.next {
		return
	}
	store.table = table
	store.next = at + 1
	store.corrupt = false
}

func (store *fakeStore) Current() (spans.Table, int64, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.table, store.next, true
}

func (store *fakeStore) ApplyOwnWrite(value []byte, offset int64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.apply(value, offset)
}

func (store *fakeStore) IsCorrupt() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.corrupt
}

func (store *fakeStore) KeyedServices() []cherrykeel.RoutedService {
	return []cherrykeel.RoutedService{{Name: service, Keyed: true, HealthPath: "/health"}}
}

func (store *fakeStore) Upstreams() []cherrykeel.Upstream {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return append([]cherrykeel.Upstream(nil), store.upstreams...)
}

func (store *fakeStore) HasOther(_, address string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.shared[address]
}

func (store *fakeStore) HasEnded(id, _ string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.ended[id]
}

func (store *fakeStore) NotifyEnded(upstream cherrykeel.Upstream) {
	store.set(func() { store.ended[upstream.ID] = true })
}

func (store *fakeStore) RereadTable() {}

func (store *fakeStore) StoreAvailableFor() time.Duration {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.unavailable {
		return 0
	}
	if store.recovering {
		return time.Millisecond
	}
	return time.Hour
}

func (store *fakeStore) PeerIncarnation(name string) (string, time.Duration, bool) {
	return "life-" + name, time.Hour, true
}

func (store *fakeStore) Rank() int { return store.rank }

func (store *fakeStore) set(change func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	change()
}

// claim writes a table with another host as the keeper.
func (store *fakeStore) claim(host string) {
	store.set(func() {
		store.table = store.table.ClaimedBy(host, "life-"+host, store.next)
		store.next++
	})
}

func (store *fakeStore) keeper() string {
	table, _, _ := store.Current()
	return table.Keeper
}

// fakeMesh returns the reports that the test sets for the other hosts.
type fakeMesh struct {
	mutex       sync.Mutex
	clock       *shiftedClock
	hostCount   int
	reports     []share.ReceivedReport
	finalGrants *share.FinalGrants
}

func (mesh *fakeMesh) Reports(age time.Duration) []share.ReceivedReport {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var fresh []share.ReceivedReport
	for _, received := range mesh.reports {
		if mesh.clock.Now().Sub(received.ReceivedAt) <= age {
			fresh = append(fresh, received)
		}
	}
	return fresh
}

func (mesh *fakeMesh) TimeSinceReport(name string) (time.Duration, bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, received := range mesh.reports {
		if received.Report.Host == name {
			return mesh.clock.Now().Sub(received.ReceivedAt), true
		}
	}
	return 0, false
}

func (mesh *fakeMesh) HostCount() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.hostCount
}

// reportFrom makes the named hosts report the newest term in the store, until stop is called or the spec ends.
func (mesh *fakeMesh) reportFrom(store *fakeStore, hostCount int, names ...string) (stop func()) {
	mesh.mutex.Lock()
	mesh.hostCount = hostCount
	mesh.mutex.Unlock()
	done := make(chan struct{})
	ended := make(chan struct{})
	var once sync.Once
	// No report arrives after stop has returned: one that is still under way would be dated by the clock that the test
	// sets forward next.
	stop = func() {
		once.Do(func() { close(done) })
		<-ended
	}
	DeferCleanup(stop)
	go func() {
		defer close(ended)
		for {
			table, _, _ := store.Current()
			mesh.mutex.Lock()
			mesh.reports = nil
			for _, name := range names {
				mesh.reports = append(mesh.reports, share.ReceivedReport{ReceivedAt: mesh.clock.Now(), Report: share.Report{Host: name, Term: table.Term, StoreAvailable: true, FinalGrants: mesh.finalGrants}})
			}
			mesh.mutex.Unlock()
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return stop
}
