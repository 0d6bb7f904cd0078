package watch_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/watch"
)

var _ = Describe("the view of the upstreams", func() {
	var (
		view      *watch.Upstreams
		available time.Duration
		announced []cherrykeel.KeyedRecord
		// before is the offset of the change before the ones that were announced last.
		before int64
	)

	BeforeEach(func() {
		available = time.Hour
		announced = nil
		decode := func(id string, value []byte) (cherrykeel.Upstream, error) {
			return cherrykeel.Upstream{ID: id, Address: string(value), Leaving: string(value) == "leaving"}, nil
		}
		view = watch.NewUpstreams(decode, cherrykeel.SystemClock(), zap.NewNop(), func() {},
			func(records []cherrykeel.KeyedRecord, after int64) {
				announced = append(announced, records...)
				before = after
			})
		view.SetTopicAvailability(func() time.Duration { return available })
		view.Apply(watch.Update{Snapshot: true, Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 1), record("b", "10.0.0.2:1", 2)}})
	})

	names := func() []string {
		var names []string
		for _, upstream := range view.Current() {
			names = append(names, upstream.ID)
		}
		return names
	}

	It("removes one whose entry is deleted while the store is available", func() {
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "", 3)}})
		Expect(names()).To(Equal([]string{"b"}))
		Expect(announced[len(announced)-1]).To(Equal(cherrykeel.KeyedRecord{Key: "a", Offset: 3}))
	})

	// The store was unavailable for long. Entries of running upstreams have expired, and each is written again within
	// two seconds of the store's return. If they counted as gone, all upstreams would lose their requests at once.
	It("keeps one for a while whose entry expired while the store was unavailable", func() {
		available = 100 * time.Millisecond
		view.Apply(watch.Update{Snapshot: true, Next: 9, Records: []cherrykeel.KeyedRecord{record("b", "10.0.0.2:1", 8)}})
		Expect(names()).To(Equal([]string{"a", "b"}))
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 9)}})
		available = 3 * time.Second
		view.RemoveMissing()
		Expect(names()).To(Equal([]string{"a", "b"}))
	})

	It("removes one that is still missing when the store has been available for long enough", func() {
		available = 100 * time.Millisecond
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "", 3)}})
		view.RemoveMissing()
		Expect(names()).To(Equal([]string{"a", "b"}))
		available = 3 * time.Second
		view.RemoveMissing()
		Expect(names()).To(Equal([]string{"b"}))
	})

	// An upstream crashes while it is cut off and starts again at its address. The new process registers, and later the
	// entry of the old one expires. If that counted as a newer registration, the new process would count as ended while
	// it works, and its keys would be granted to another upstream as well.
	It("does not consider one replaced when the entry of an earlier one at its address expires", func() {
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("c", "10.0.0.1:1", 5)}})
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "", 9)}})
		Expect(view.HasEnded("a", "10.0.0.1:1")).To(BeFalse(), "an entry does not end another upstream")
		Expect(view.HasEnded("c", "10.0.0.1:1")).To(BeFalse())
		Expect(view.HasOther("a", "10.0.0.1:1")).To(BeTrue())
		Expect(view.HasOther("c", "10.0.0.1:1")).To(BeFalse(), "the earlier one is gone")
	})

	// An upstream crashes and starts again under its ID. Guards against a late record of its earlier incarnation, which
	// is leaving, that takes the new one out of use, and against an upstream that stays marked as ended after its
	// restart.
	It("accepts a new incarnation, which a record of an earlier one does not change", func() {
		decode := func(id string, value []byte) (cherrykeel.Upstream, error) {
			var upstream cherrykeel.Upstream
			err := json.Unmarshal(value, &upstream)
			upstream.ID = id
			return upstream, err
		}
		view = watch.NewUpstreams(decode, cherrykeel.SystemClock(), zap.NewNop(), func() {}, func([]cherrykeel.KeyedRecord, int64) {})
		apply := func(value string, offset int64) {
			view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", value, offset)}})
		}
		apply(`{"StartedAt":100}`, 1)
		view.MarkEnded(cherrykeel.Upstream{ID: "a", StartedAt: 100})
		apply(`{"StartedAt":100}`, 2)
		Expect(names()).To(BeEmpty())
		apply(`{"StartedAt":200}`, 3)
		Expect(names()).To(Equal([]string{"a"}))
		Expect(view.HasEnded("a", "")).To(BeFalse())
		apply(`{"StartedAt":100,"Leaving":true}`, 4)
		Expect(view.Current()).To(Equal([]cherrykeel.Upstream{{ID: "a", StartedAt: 200}}))
	})

	It("keeps one whose entry another writer has overwritten", func() {
		view = watch.NewUpstreams(func(id string, value []byte) (cherrykeel.Upstream, error) {
			if string(value) == "?" {
				return cherrykeel.Upstream{}, errors.New("no upstream")
			}
			return cherrykeel.Upstream{ID: id}, nil
		}, cherrykeel.SystemClock(), zap.NewNop(), func() {}, func([]cherrykeel.KeyedRecord, int64) {})
		whole := []cherrykeel.KeyedRecord{record("a", "1", 1), record("b", "1", 2)}
		view.Apply(watch.Update{Snapshot: true, Records: whole})
		whole = []cherrykeel.KeyedRecord{record("a", "?", 3), record("b", "1", 2), record("c", "?", 4)}
		view.Apply(watch.Update{Snapshot: true, Records: whole})
		Expect(names()).To(Equal([]string{"a", "b"}))
		Expect(view.InvalidCount()).To(Equal(int64(2)))
		view.Apply(watch.Update{Snapshot: true, Records: whole})
		Expect(view.InvalidCount()).To(Equal(int64(2)), "each invalid record is counted once")
	})

	// Announcements are datagrams, and one may be lost. The next one has the offset of the change before its own, so that a
	// host which lacks that change reads the store; otherwise a leaving upstream would get requests until the next of the
	// infrequent reads, 15 s later.
	It("announces a change together with the offset of the one before", func() {
		Expect(before).To(Equal(int64(-1)))
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 3), record("b", "leaving", 4)}})
		Expect(before).To(Equal(int64(2)))
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "leaving", 8)}})
		Expect(before).To(Equal(int64(4)))
		Expect(view.Offset()).To(Equal(int64(8)))
	})

	It("does not bring one back for an older record", func() {
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "", 5)}})
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 4)}})
		Expect(names()).To(Equal([]string{"b"}))
	})

	It("removes one that another host reports as gone, unless it has read a newer record", func() {
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("b", "10.0.0.2:1", 7)}})
		view.Apply(watch.Update{FromPeer: true, Records: []cherrykeel.KeyedRecord{record("a", "", 1), record("b", "", 2)}})
		Expect(names()).To(Equal([]string{"b"}))
	})

	// Another upstream answers at the address. The one before has ended whatever its entry says: it holds no keys any
	// more, and a late heartbeat must not bring it back.
	It("considers one replaced when another one answers at its address", func() {
		view.MarkEnded(cherrykeel.Upstream{ID: "a", Address: "10.0.0.1:1"})
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 9)}})
		Expect(names()).To(Equal([]string{"b"}))
		Expect(view.HasEnded("a", "10.0.0.1:1")).To(BeTrue())
		Expect(view.HasEnded("b", "10.0.0.2:1")).To(BeFalse())
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("c", "10.0.0.2:1", 11)}})
		Expect(view.HasEnded("b", "10.0.0.2:1")).To(BeFalse(), "nobody has answered there yet")
		Expect(view.HasOther("b", "10.0.0.2:1")).To(BeTrue())
		view.MarkEnded(cherrykeel.Upstream{ID: "b", Address: "10.0.0.2:1"})
		Expect(view.HasEnded("b", "10.0.0.2:1")).To(BeTrue())
	})
})
