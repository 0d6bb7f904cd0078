package watch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/watch"
)

var _ = Describe("two upstreams at one address", func() {
	// An upstream ends, and the store carries out its last heartbeat seconds later, after the next upstream has
	// registered at its address. A host that starts then finds the earlier one's record behind the later one's. Guards
	// against the later one counting as replaced for good: its keys would be transferred while it still holds them.
	It("are ordered by their start times too, if known, and not by their offsets alone", func() {
		startedAt := map[string]int64{"earlier": 1000, "later": 9000}
		decode := func(id string, value []byte) (cherrykeel.Upstream, error) {
			return cherrykeel.Upstream{ID: id, Address: string(value), StartedAt: startedAt[id]}, nil
		}
		view := watch.NewUpstreams(decode, cherrykeel.SystemClock(), zap.NewNop(), func() {}, func([]cherrykeel.KeyedRecord, int64) {})
		view.SetTopicAvailability(func() time.Duration { return time.Hour })
		view.Apply(watch.Update{Snapshot: true, Records: []cherrykeel.KeyedRecord{record("later", "10.0.0.1:1", 190), record("earlier", "10.0.0.1:1", 200)}})
		Expect(view.HasEnded("later", "10.0.0.1:1")).To(BeFalse())
	})
})

var _ = Describe("an upstream at the address of one whose entry is gone", func() {
	// Start times come from each machine's own clock, and the clocks differ. An upstream ends a second after its start,
	// its entry is gone, and 2 s later another one registers at its address whose clock is 5 s behind. Guards against
	// start times alone deciding: the later one would count as replaced for good at each host, and the keeper would
	// grant it nothing and consider its keys free, while the table still names it.
	It("does not count as replaced by it although its clock is behind", func() {
		startedAt := map[string]int64{"earlier": 10000, "later": 8000}
		decode := func(id string, value []byte) (cherrykeel.Upstream, error) {
			return cherrykeel.Upstream{ID: id, Address: string(value), StartedAt: startedAt[id]}, nil
		}
		view := watch.NewUpstreams(decode, cherrykeel.SystemClock(), zap.NewNop(), func() {}, func([]cherrykeel.KeyedRecord, int64) {})
		view.SetTopicAvailability(func() time.Duration { return time.Hour })
		view.Apply(watch.Update{Snapshot: true, Next: 6, Records: []cherrykeel.KeyedRecord{record("earlier", "10.0.0.1:1", 5)}})
		view.Apply(watch.Update{Next: 8, Records: []cherrykeel.KeyedRecord{{Key: "earlier", Offset: 7}}})
		view.Apply(watch.Update{Next: 10, Records: []cherrykeel.KeyedRecord{record("later", "10.0.0.1:1", 9)}})
		Expect(view.Current()).To(HaveLen(1))
		Expect(view.HasEnded("later", "10.0.0.1:1")).To(BeFalse())
	})
})
