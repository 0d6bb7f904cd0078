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

var _ = Describe("the upstreams", func() {
	var (
		view      *watch.Upstreams
		available time.Duration
		announced []cherrykeel.KeyedRecord
		// before is the offset of the change before the ones last told.
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

	It("go when their entry is dropped while the store is well", func() {
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "", 3)}})
		Expect(names()).To(Equal([]string{"b"}))
		Expect(announced[len(announced)-1]).To(Equal(cherrykeel.KeyedRecord{Key: "a", Offset: 3}))
	})

	// The store was away for long. Entries lapsed of servers that live, and each is written again within two
	// seconds of the store's return. Taken for gone, all servers would lose their requests at once.
	It("stay for a while when their entry lapsed in the store's trouble", func() {
		available = 100 * time.Millisecond
		view.Apply(watch.Update{Snapshot: true, Next: 9, Records: []cherrykeel.KeyedRecord{record("b", "10.0.0.2:1", 8)}})
		Expect(names()).To(Equal([]string{"a", "b"}))
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 9)}})
		available = 3 * time.Second
		view.RemoveMissing()
		Expect(names()).To(Equal([]string{"a", "b"}))
	})

	It("go when the store has been back for long enough and they are not", func() {
		available = 100 * time.Millisecond
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "", 3)}})
		view.RemoveMissing()
		Expect(names()).To(Equal([]string{"a", "b"}))
		available = 3 * time.Second
		view.RemoveMissing()
		Expect(names()).To(Equal([]string{"b"}))
	})

	// A message that tells of a change is lost, the next one arrives. It names the change before its own, so
	// the host that gets it knows that it has missed one and reads the store; else an upstream that leaves
	// would get work until the next slow read, 15 s later.
	// A server crashes behind a cut and starts again at its address. Its new life registers, and later the
	// entry of the old one lapses. Were that lapse taken for a newer registration, the new life would count
	// as ended while it works, and its keys would go to another server beside it.
	It("are not ended by the lapse of an earlier life at their address", func() {
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("c", "10.0.0.1:1", 5)}})
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "", 9)}})
		Expect(view.IsReplaced("a", "10.0.0.1:1")).To(BeTrue())
		Expect(view.IsReplaced("c", "10.0.0.1:1")).To(BeFalse())
	})

	// A server crashes and starts again under its ID, knowing nothing. A late word of its earlier life, that it
	// leaves, would take the new one out of use; and one that was called ended was never believed again.
	It("come back with a new life, which an earlier one's record does not change", func() {
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
		view.MarkEnded("a")
		apply(`{"StartedAt":100}`, 2)
		Expect(names()).To(BeEmpty())
		apply(`{"StartedAt":200}`, 3)
		Expect(names()).To(Equal([]string{"a"}))
		Expect(view.IsReplaced("a", "")).To(BeFalse())
		apply(`{"StartedAt":100,"Leaving":true}`, 4)
		Expect(view.Current()).To(Equal([]cherrykeel.Upstream{{ID: "a", StartedAt: 200}}))
	})

	It("hold when another writer's entry stands in the place of one", func() {
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
		Expect(view.InvalidCount()).To(Equal(int64(2)), "each is counted once")
	})

	It("tell of a change together with the one before", func() {
		Expect(before).To(Equal(int64(-1)))
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 3), record("b", "leaving", 4)}})
		Expect(before).To(Equal(int64(2)))
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "leaving", 8)}})
		Expect(before).To(Equal(int64(4)))
		Expect(view.Offset()).To(Equal(int64(8)))
	})

	It("are not brought back by an older record", func() {
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "", 5)}})
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 4)}})
		Expect(names()).To(Equal([]string{"b"}))
	})

	It("go on another host's word, unless this host has read of them since", func() {
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("b", "10.0.0.2:1", 7)}})
		view.Apply(watch.Update{FromPeer: true, Records: []cherrykeel.KeyedRecord{record("a", "", 1), record("b", "", 2)}})
		Expect(names()).To(Equal([]string{"b"}))
	})

	// Another server answers at the address. The one before has ended whatever its entry says, holds no key
	// any more, and does not come back with a late heartbeat.
	It("end when another one answers at their address", func() {
		view.MarkEnded("a")
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("a", "10.0.0.1:1", 9)}})
		Expect(names()).To(Equal([]string{"b"}))
		Expect(view.IsReplaced("a", "10.0.0.1:1")).To(BeTrue())
		Expect(view.IsReplaced("b", "10.0.0.2:1")).To(BeFalse())
		view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{record("c", "10.0.0.2:1", 11)}})
		Expect(view.IsReplaced("b", "10.0.0.2:1")).To(BeTrue())
	})
})
