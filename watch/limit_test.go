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
	"cherrykeel/permit"
	"cherrykeel/watch"
)

var _ = Describe("an upstream that names a limit in its answers", func() {
	const startAt = cherrykeel.Instant(time.Hour)
	var (
		clock     *fakes.Clock
		view      *watch.Upstreams
		startedAt int64
		lines     *observer.ObservedLogs
	)

	// hear records an answer that arrives now and took 10 ms; a limit below 0 means that it names none.
	hear := func(limit float64, request string) {
		heard := permit.Statement{SentAt: clock.Now().Add(-10 * time.Millisecond), ReceivedAt: clock.Now()}
		if limit >= 0 {
			heard.Limited, heard.PerSecond = true, limit
		}
		upstream := view.Current()[0]
		view.RecordLimit(permit.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt}, heard, watch.Source{Request: request})
		clock.Advance(time.Second)
	}
	logged := func(event events.Event) []observer.LoggedEntry {
		return lines.FilterField(zap.Int("Event", event.Number)).All()
	}

	BeforeEach(func() {
		clock = fakes.NewClock(startAt)
		startedAt = 1000
		core, observed := observer.New(zapcore.DebugLevel)
		lines = observed
		decode := func(id string, value []byte) (cherrykeel.Upstream, error) {
			return cherrykeel.Upstream{ID: id, Address: string(value), StartedAt: startedAt}, nil
		}
		view = watch.NewUpstreams(decode, clock, zap.New(core), func() {}, func([]cherrykeel.KeyedRecord, int64) {})
		view.Apply(watch.Update{Next: 2, Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 1)}})
	})

	// Guards against an operator who can't tell who named which limit, since when and for how long.
	It("is logged when it begins, changes and ends, with the request, and not for each answer", func() {
		for i, limit := range []float64{-1, 9.5, 9.5, 4, 4, -1, -1} {
			hear(limit, "r"+string(rune('0'+i)))
		}
		named := logged(events.LimitNamed)
		Expect(named).To(HaveLen(2))
		Expect(named[0].ContextMap()).To(And(HaveKeyWithValue("Limit", 9.5), HaveKeyWithValue("Before", -1.0), HaveKeyWithValue("Request", "r1")))
		Expect(named[1].ContextMap()).To(And(HaveKeyWithValue("Limit", 4.0), HaveKeyWithValue("Before", 9.5), HaveKeyWithValue("Request", "r3")))
		ended := logged(events.LimitEnded)
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].ContextMap()).To(And(HaveKeyWithValue("Limit", 4.0), HaveKeyWithValue("After", 4*time.Second), HaveKeyWithValue("Request", "r5")))
	})

	// Guards against a limit that is taken for a new one when the upstream's entry is renewed.
	It("names the same one after its entry was renewed", func() {
		hear(9.5, "r1")
		view.Apply(watch.Update{Next: 3, Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 2)}})
		hear(9.5, "r2")
		Expect(logged(events.LimitNamed)).To(HaveLen(1))
	})

	// Guards against a limit that outlives the process that named it.
	It("has named none in its next incarnation", func() {
		hear(9.5, "r1")
		startedAt = 2000
		view.Apply(watch.Update{Next: 3, Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 2)}})
		hear(9.5, "r2")
		Expect(logged(events.LimitNamed)).To(HaveLen(2))
	})
})
