package entry

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/watch"
)

var _ = Describe("an upstream that has stated in an answer that it is leaving", func() {
	const (
		heardAt      = cherrykeel.Instant(time.Hour)
		drain        = 2 * time.Second
		keyedService = "service-0"
		plainService = "service-1"
	)
	var (
		host   *Host
		clock  *fakes.Clock
		offset int64
	)

	// put applies the entry of an upstream.
	put := func(upstream cherrykeel.Upstream) cherrykeel.Upstream {
		GinkgoHelper()
		value, err := json.Marshal(upstream)
		Expect(err).NotTo(HaveOccurred())
		offset++
		host.upstreams.Apply(watch.Update{Next: offset + 1, Records: []cherrykeel.KeyedRecord{{Key: upstream.ID, Value: value, Offset: offset}}})
		return upstream
	}
	add := func(id, service string) cherrykeel.Upstream {
		GinkgoHelper()
		return put(cherrykeel.Upstream{ID: id, Service: service, Address: "127.0.0.1:1", Slots: 1})
	}
	leaveAt := func(id string) cherrykeel.Instant {
		GinkgoHelper()
		for _, upstream := range host.appliedUpstreams.current() {
			if upstream.ID == id {
				return upstream.LeaveAt
			}
		}
		Fail("the upstream is not passed on")
		return 0
	}

	BeforeEach(func() {
		offset = 0
		clock = fakes.NewClock(heardAt)
		host = unstartedHostAt(clock, nil)
		host.Reload(cherrykeel.EntrySettings{Bounds: cherrykeel.Bounds{Drain: drain}})
		host.applyOperator(watch.Update{Snapshot: true, Next: 2, Records: []cherrykeel.KeyedRecord{{Key: "routes", Value: []byte("{}"), Offset: 1}}})
	})

	// Guards against keys without an owner from that answer on, and against requests for them after the bound.
	It("gets requests for its keys until shortly before the bound", func() {
		leaving := add("a", keyedService)
		add("b", keyedService)
		host.upstreams.RecordLeaving(leaving, "r")
		Expect(leaveAt("a")).To(And(BeNumerically(">", heardAt), BeNumerically("<", heardAt.Add(drain))))
	})

	// Guards against refusals while the upstream still serves, and against requests to it after the bound.
	It("may get requests without a key until shortly before the bound", func() {
		leaving := add("a", plainService)
		add("b", plainService)
		host.upstreams.RecordLeaving(leaving, "r")
		Expect(leaveAt("a")).To(And(BeNumerically(">", heardAt), BeNumerically("<", heardAt.Add(drain))))
		Expect(leaveAt("b")).To(BeZero())
	})

	// Guards against a bound that stays as long as it was when the answer came, though the platform has made it shorter.
	It("is bound by the present bound", func() {
		leaving := add("a", keyedService)
		host.upstreams.RecordLeaving(leaving, "r")
		host.Reload(cherrykeel.EntrySettings{Bounds: cherrykeel.Bounds{Drain: drain / 2}})
		Expect(leaveAt("a")).To(And(BeNumerically(">", heardAt), BeNumerically("<", heardAt.Add(drain/2))))
	})

	// Guards against a late record that says "ready" and undoes what the upstream has said.
	It("stays leaving whatever its entry says", func() {
		leaving := add("a", plainService)
		add("b", plainService)
		host.upstreams.RecordLeaving(leaving, "r")
		before := leaveAt("a")
		clock.Advance(time.Minute)
		put(leaving)
		Expect(leaveAt("a")).To(Equal(before))
	})
})
