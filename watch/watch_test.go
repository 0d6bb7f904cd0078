package watch_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/watch"
)

func TestWatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "watch")
}

const generous = "20s"

// scriptedLog is a topic whose answers the test sets.
type scriptedLog struct {
	mutex  sync.Mutex
	newest func() (cherrykeel.KeyedBatch, error)
	read   func(ctx context.Context, from int64) (cherrykeel.KeyedBatch, error)
}

func (log *scriptedLog) Newest(context.Context) (cherrykeel.KeyedBatch, error) {
	log.mutex.Lock()
	call := log.newest
	log.mutex.Unlock()
	return call()
}

func (log *scriptedLog) Read(ctx context.Context, from int64, _ time.Duration) (cherrykeel.KeyedBatch, error) {
	log.mutex.Lock()
	call := log.read
	log.mutex.Unlock()
	return call(ctx, from)
}

func (log *scriptedLog) Put(context.Context, string, []byte) (int64, error) { return 0, nil }

func (log *scriptedLog) PutAt(context.Context, string, []byte, int64) error { return nil }

func record(key, value string, offset int64) cherrykeel.KeyedRecord {
	return cherrykeel.KeyedRecord{Key: key, Value: []byte(value), Offset: offset}
}

func follow(log *scriptedLog, schedule watch.Schedule) (*watch.Follower, <-chan watch.Update) {
	updates := make(chan watch.Update, 100)
	follower := watch.NewFollower("topic", log, cherrykeel.SystemClock(), zap.NewNop(),
		func(update watch.Update) { updates <- update }, func() watch.Schedule { return schedule })
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go follower.Run(ctx)
	return follower, updates
}

func nothing(ctx context.Context, from int64) (cherrykeel.KeyedBatch, error) {
	select {
	case <-ctx.Done():
		return cherrykeel.KeyedBatch{}, errors.Wrap(cherrykeel.ErrStoreUnavailable, ctx.Err().Error())
	case <-time.After(5 * time.Millisecond):
		return cherrykeel.KeyedBatch{Next: from}, nil
	}
}

var _ = Describe("a follower", func() {
	var log *scriptedLog

	BeforeEach(func() {
		log = &scriptedLog{read: nothing, newest: func() (cherrykeel.KeyedBatch, error) {
			return cherrykeel.KeyedBatch{Records: []cherrykeel.KeyedRecord{record("k", "1", 4)}, Next: 5}, nil
		}}
	})

	// A read waits for the next change on a connection that has gone silent. The change is in the store, but this host
	// would use the old settings until the read times out. When another host reports a newer record, the waiting read
	// is canceled and repeated.
	It("cancels a read that hangs when another host has a newer record", func() {
		hanging := make(chan struct{}, 1)
		log.read = func(ctx context.Context, _ int64) (cherrykeel.KeyedBatch, error) {
			hanging <- struct{}{}
			<-ctx.Done()
			return cherrykeel.KeyedBatch{}, errors.Wrap(cherrykeel.ErrStoreUnavailable, "cut")
		}
		follower, updates := follow(log, watch.Schedule{Wait: time.Hour})
		Eventually(updates, generous).Should(Receive())
		Eventually(hanging, generous).Should(Receive())
		log.mutex.Lock()
		log.read = func(_ context.Context, from int64) (cherrykeel.KeyedBatch, error) {
			time.Sleep(time.Millisecond)
			if from > 5 {
				return cherrykeel.KeyedBatch{Next: from}, nil
			}
			return cherrykeel.KeyedBatch{Records: []cherrykeel.KeyedRecord{record("k", "2", 5)}, Next: 6}, nil
		}
		log.mutex.Unlock()
		time.Sleep(120 * time.Millisecond)
		follower.TriggerRead()
		var update watch.Update
		Eventually(updates, generous).Should(Receive(&update))
		Expect(update.Records[0].Offset).To(Equal(int64(5)))
		Expect(follower.AvailableFor()).NotTo(BeZero(), "an interrupted read is not a failure of the store")
	})

	// A host with a sixth of a core needs a tenth of a second to apply 659 upstreams. Guards against a host that is
	// ready in that time and refuses callers because it knows no upstream.
	It("has applied the snapshot only when apply has returned", func() {
		begun := make(chan struct{})
		release := make(chan struct{})
		follower := watch.NewFollower("topic", log, cherrykeel.SystemClock(), zap.NewNop(), func(watch.Update) {
			close(begun)
			<-release
		}, func() watch.Schedule { return watch.Schedule{Interval: time.Hour} })
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go follower.Run(ctx)
		Eventually(begun, generous).Should(BeClosed())
		Expect(follower.HasRead()).To(BeTrue())
		Expect(follower.HasAppliedSnapshot()).To(BeFalse())
		close(release)
		Eventually(follower.HasAppliedSnapshot, generous).Should(BeTrue())
	})

	// Another host reports a change; the read is due at once, however rarely this host rechecks its schedule.
	It("reads at once when it is triggered between two reads, and rechecks its schedule no more often than the schedule requires", func() {
		var scheduleChecks atomic.Int64
		reads := make(chan struct{}, 100)
		log.read = func(_ context.Context, from int64) (cherrykeel.KeyedBatch, error) {
			reads <- struct{}{}
			return cherrykeel.KeyedBatch{Next: from}, nil
		}
		follower := watch.NewFollower("topic", log, cherrykeel.SystemClock(), zap.NewNop(), func(watch.Update) {}, func() watch.Schedule {
			scheduleChecks.Add(1)
			return watch.Schedule{Interval: 2 * time.Hour, RecheckInterval: time.Hour}
		})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go follower.Run(ctx)
		Eventually(scheduleChecks.Load, generous).Should(Equal(int64(1)))
		Consistently(scheduleChecks.Load, "300ms").Should(Equal(int64(1)))
		follower.TriggerRead()
		Eventually(reads, generous).Should(Receive())
	})

	// Guards against hundreds of hosts that all call an unavailable store twice a second, and against one that goes on
	// waiting when another host reports a change.
	It("waits longer with a backoff factor while the store is unavailable, and reads at once when it is triggered", func() {
		var tries atomic.Int64
		log.newest = func() (cherrykeel.KeyedBatch, error) {
			tries.Add(1)
			return cherrykeel.KeyedBatch{}, errors.WithStack(cherrykeel.ErrStoreUnavailable)
		}
		follower, _ := follow(log, watch.Schedule{BackoffFactor: 100_000})
		Eventually(tries.Load, generous).Should(Equal(int64(1)))
		Consistently(tries.Load, "500ms").Should(Equal(int64(1)))
		follower.TriggerRead()
		Eventually(tries.Load, generous).Should(Equal(int64(2)))
	})

	// The store answers with a state older than one that was read; what this state lacks has not been deleted.
	It("does not apply an older state", func() {
		var mutex sync.Mutex
		next := int64(9)
		log.newest = func() (cherrykeel.KeyedBatch, error) {
			mutex.Lock()
			defer mutex.Unlock()
			batch := cherrykeel.KeyedBatch{Records: []cherrykeel.KeyedRecord{record("k", "1", next-1)}, Next: next}
			next = 3
			return batch, nil
		}
		forgotten := make(chan struct{}, 100)
		log.read = func(context.Context, int64) (cherrykeel.KeyedBatch, error) {
			forgotten <- struct{}{}
			time.Sleep(time.Millisecond)
			return cherrykeel.KeyedBatch{}, errors.WithStack(cherrykeel.ErrRecordsExpired)
		}
		follower, updates := follow(log, watch.Schedule{})
		Eventually(updates, generous).Should(Receive())
		Eventually(forgotten, generous).Should(Receive())
		Eventually(forgotten, generous).Should(Receive())
		Consistently(updates, "30ms").ShouldNot(Receive())
		Expect(follower.NextOffset()).To(Equal(int64(9)))
	})

	It("reads on by itself when the store is available again, and counts as unavailable until then", func() {
		var mutex sync.Mutex
		unavailable := true
		log.newest = func() (cherrykeel.KeyedBatch, error) {
			mutex.Lock()
			defer mutex.Unlock()
			if unavailable {
				return cherrykeel.KeyedBatch{}, errors.WithStack(cherrykeel.ErrStoreUnavailable)
			}
			return cherrykeel.KeyedBatch{Next: 0}, nil
		}
		follower, updates := follow(log, watch.Schedule{})
		Consistently(updates, "60ms").ShouldNot(Receive())
		Expect(follower.HasRead()).To(BeFalse())
		Expect(follower.AvailableFor()).To(BeZero())
		mutex.Lock()
		unavailable = false
		mutex.Unlock()
		Eventually(updates, generous).Should(Receive())
		Expect(follower.HasRead()).To(BeTrue())
	})

	It("counts received records as read only if none is missing before them", func() {
		follower, updates := follow(log, watch.Schedule{Interval: time.Hour})
		Eventually(updates, generous).Should(Receive())
		follower.ApplyReceived([]cherrykeel.KeyedRecord{record("k", "2", 5), record("k", "3", 6)})
		Expect(follower.NextOffset()).To(Equal(int64(7)))
		follower.ApplyReceived([]cherrykeel.KeyedRecord{record("k", "5", 9)})
		Expect(follower.NextOffset()).To(Equal(int64(7)))
		var update watch.Update
		Eventually(updates, generous).Should(Receive(&update))
		Expect(update.FromPeer).To(BeTrue())
	})
})

var _ = Describe("the routes", func() {
	// A reader that is behind, or another host, offers an older version. A host that went back to it would handle
	// requests by settings that the operator has replaced.
	It("never go back to an older version", func() {
		var versions []int64
		announced := 0
		decode := func(value []byte) (cherrykeel.RouteSet, error) {
			var set cherrykeel.RouteSet
			return set, json.Unmarshal(value, &set)
		}
		routes := watch.NewRoutes("config", decode, zap.NewNop(),
			func(set cherrykeel.RouteSet) { versions = append(versions, set.Version) },
			func(cherrykeel.KeyedRecord) { announced++ })
		routes.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("config", `{"Version":5}`, 1), record("other", "x", 2)}})
		routes.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("config", `{"Version":4}`, 3), record("config", "{", 4)}})
		routes.Apply(watch.Update{FromPeer: true, Records: []cherrykeel.KeyedRecord{record("config", `{"Version":9}`, 5)}})
		Expect(versions).To(Equal([]int64{5, 9}))
		Expect(announced).To(Equal(1), "only records that this host has read itself are announced")
		Expect(routes.Offset()).To(Equal(int64(5)))
	})
})
