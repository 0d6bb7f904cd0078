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
	// An upstream ends, and its last heartbeat is carried out seconds later, when the next one at its address has
	// registered. A host that starts then finds the earlier one's record behind the later one's. Taken for replaced,
	// the one that lives counts as ended there for good: its keys are given on while it holds them.
	It("are told apart by their births too, if they say them, and not by which was read of last alone", func() {
		startedAt := map[string]int64{"earlier": 1000, "later": 9000}
		decode := func(id string, value []byte) (cherrykeel.Upstream, error) {
			return cherrykeel.Upstream{ID: id, Address: string(value), StartedAt: startedAt[id]}, nil
		}
		view := watch.NewUpstreams(decode, cherrykeel.SystemClock(), zap.NewNop(), func() {}, func([]cherrykeel.KeyedRecord, int64) {})
		view.SetTopicAvailability(func() time.Duration { return time.Hour })
		view.Apply(watch.Update{Snapshot: true, Records: []cherrykeel.KeyedRecord{record("later", "10.0.0.1:1", 190), record("earlier", "10.0.0.1:1", 200)}})
		Expect(view.IsReplaced("later", "10.0.0.1:1")).To(BeFalse())
	})
})

var _ = Describe("an upstream at the address of one that is gone", func() {
	// Births are told by each machine's own time of day, and these differ. An upstream ends a second after its birth, its
	// entry is gone, and 2 s later one registers at its address whose machine is 5 s behind. By its birth it
	// came first, and counts as replaced for good on each host: the keeper grants it nothing, takes what it
	// holds for free, and the table goes on naming it.
	It("is not replaced by it, though its clock is behind", func() {
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
		Expect(view.IsReplaced("later", "10.0.0.1:1")).To(BeFalse())
	})
})
