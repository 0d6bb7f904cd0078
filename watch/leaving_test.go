package watch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/fakes"
	"cherrykeel/watch"
)

var _ = Describe("an upstream that has stated in an answer that it is leaving", func() {
	const heardAt = cherrykeel.Instant(time.Hour)
	var (
		clock     *fakes.Clock
		view      *watch.Upstreams
		startedAt int64
		available time.Duration
		changes   int
		lines     *observer.ObservedLogs
	)

	// put applies an entry of the upstream that calls it ready.
	put := func(offset int64) {
		view.Apply(watch.Update{Next: offset + 1, Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", offset)}})
	}

	BeforeEach(func() {
		clock = fakes.NewClock(heardAt)
		startedAt, available, changes = 1000, time.Hour, 0
		core, observed := observer.New(zapcore.DebugLevel)
		lines = observed
		decode := func(id string, value []byte) (cherrykeel.Upstream, error) {
			return cherrykeel.Upstream{ID: id, Address: string(value), StartedAt: startedAt}, nil
		}
		view = watch.NewUpstreams(decode, clock, zap.New(core), func() { changes++ }, func([]cherrykeel.KeyedRecord, int64) {})
		view.SetTopicAvailability(func() time.Duration { return available })
		put(1)
		view.RecordLeaving(view.Current()[0], "r1")
		clock.Advance(time.Second)
	})

	// Guards against a line and a change for each of its answers, and against a bound that begins anew with each.
	It("is known since its first answer, and logged once with the request", func() {
		before := changes
		view.RecordLeaving(view.Current()[0], "r2")
		Expect(view.LeavingSince("a", 1000)).To(Equal(heardAt))
		Expect(changes).To(Equal(before))
		logged := lines.FilterField(zap.Int("Event", events.UpstreamSaidLeaving.Number)).All()
		Expect(logged).To(HaveLen(1))
		Expect(logged[0].ContextMap()).To(HaveKeyWithValue("Request", "r1"))
	})

	// Guards against a statement that is forgotten when the entry lapses, or undone by a late record of the entry.
	It("stays leaving when its entry lapses, and when it is back and says that it is ready", func() {
		available = 0
		view.Apply(watch.Update{Snapshot: true, Next: 5})
		available = time.Hour
		view.RemoveMissing()
		Expect(view.Current()).To(BeEmpty())
		put(6)
		Expect(view.Current()).To(HaveLen(1))
		Expect(view.LeavingSince("a", 1000)).To(Equal(heardAt))
		Expect(view.IsLeaving("a", 1000)).To(BeTrue())
	})

	// Guards against a statement that outlives its incarnation, and against one that is late and hits the next one.
	It("is not leaving in its next incarnation", func() {
		earlier := view.Current()[0]
		startedAt = 2000
		put(6)
		view.RecordLeaving(earlier, "r3")
		Expect(view.LeavingSince("a", 2000)).To(BeZero())
		Expect(view.IsLeaving("a", 2000)).To(BeFalse())
	})

	It("says nothing of another upstream at its address", func() {
		view.Apply(watch.Update{Next: 8, Records: []cherrykeel.KeyedRecord{record("b", "10.0.0.1:1", 7)}})
		Expect(view.LeavingSince("b", 1000)).To(BeZero())
	})
})
