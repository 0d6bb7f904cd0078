package entry

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/permit"
	"cherrykeel/share"
	"cherrykeel/watch"
)

var _ = Describe("what a host knows of an upstream's limit", func() {
	const startAt = cherrykeel.Instant(time.Hour)
	upstream := permit.Incarnation{ID: "a"}
	var (
		host  *Host
		clock *fakes.Clock
	)

	// hear records an answer of the upstream that has just come and was asked for 10 ms ago.
	hear := func(limited bool, limit float64) {
		heard := permit.Statement{Limited: limited, PerSecond: limit, SentAt: clock.Now().Add(-10 * time.Millisecond), ReceivedAt: clock.Now()}
		host.recordLimit(upstream, heard, watch.Source{Request: "r"})
		clock.Advance(time.Second)
	}
	current := func() cherrykeel.Upstream {
		GinkgoHelper()
		list := host.appliedUpstreams.current()
		Expect(list).To(HaveLen(1))
		return list[0]
	}

	BeforeEach(func() {
		clock = fakes.NewClock(startAt)
		host = unstartedHostAt(clock, nil)
		host.applyOperator(watch.Update{Snapshot: true, Next: 2, Records: []cherrykeel.KeyedRecord{{Key: "routes", Value: []byte("{}"), Offset: 1}}})
		value, err := json.Marshal(cherrykeel.Upstream{ID: "a", Service: "service-1", Address: "127.0.0.1:1", Slots: 1})
		Expect(err).NotTo(HaveOccurred())
		host.upstreams.Apply(watch.Update{Next: 2, Records: []cherrykeel.KeyedRecord{{Key: "a", Value: value, Offset: 1}}})
	})

	// Guards against a limit that is read and not put in force, or that stays in force after its end.
	It("is in force until it has ended", func() {
		hear(true, 9.5)
		Expect(current().HasRateLimit).To(BeTrue())
		Expect(current().RateLimit).To(Equal(9.5))
		hear(false, 0)
		Expect(current().HasRateLimit).To(BeFalse())
	})

	// Guards against a host that has missed the end of a limit, and gets neither permits nor word of it.
	It("is told to a host that asks for permits though the limit has ended", func() {
		ask := permit.Ask{Upstream: upstream, Wants: []permit.Want{{ID: 1, Left: time.Second}}}
		hear(true, 9.5)
		Expect(host.rateLimits.corrections([]permit.Ask{ask})).To(BeEmpty())
		hear(false, 0)
		clock.Advance(time.Minute)
		corrections := host.rateLimits.corrections([]permit.Ask{ask})
		Expect(corrections).To(HaveLen(1))
		Expect(corrections[0].Upstream).To(Equal(upstream))
		Expect(corrections[0].Limited).To(BeFalse())
	})

	// Guards against an end that is heard late from another host and undoes a limit that was named since.
	It("is ordered by when the answers were asked for, also from another host", func() {
		hear(true, 9.5)
		old := share.Statement{Upstream: upstream, SentAgo: 5 * time.Second, ReceivedAgo: 5 * time.Second}
		host.rateLimits.receiveStatements("other", []share.Statement{old})
		Expect(current().HasRateLimit).To(BeTrue())
		recent := share.Statement{Upstream: upstream, SentAgo: 10 * time.Millisecond, ReceivedAgo: time.Millisecond}
		host.rateLimits.receiveStatements("other", []share.Statement{recent})
		Expect(current().HasRateLimit).To(BeFalse())
	})
})
