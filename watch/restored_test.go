package watch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/spans"
)

// restoredLog is a log that a spec lets come back from a copy.
type restoredLog struct {
	cherrykeel.KeyedLog
	batch    cherrykeel.KeyedBatch
	listings int
}

func (log *restoredLog) Newest(context.Context) (cherrykeel.KeyedBatch, error) {
	log.listings++
	return log.batch, nil
}

func (log *restoredLog) Read(_ context.Context, from int64, _ time.Duration) (cherrykeel.KeyedBatch, error) {
	if cherrykeel.EraOf(log.batch.Next) != cherrykeel.EraOf(from) {
		return cherrykeel.KeyedBatch{}, cherrykeel.ErrRecordsExpired
	}
	return cherrykeel.KeyedBatch{Next: from}, nil
}

var _ = Describe("a topic of a store that comes back from a copy", func() {
	var (
		clock    *fakes.Clock
		log      *restoredLog
		follower *Follower
		updates  []Update
	)
	restore := func(records ...cherrykeel.KeyedRecord) {
		log.batch = cherrykeel.KeyedBatch{Records: records, Next: cherrykeel.Position(2, 5)}
		Expect(follower.readOnce(context.Background())).To(Succeed())
	}

	BeforeEach(func() {
		clock = fakes.NewClock(cherrykeel.Instant(time.Hour))
		log = &restoredLog{batch: cherrykeel.KeyedBatch{Next: cherrykeel.Position(1, 90)}}
		updates = nil
		follower = NewFollower("topic", log, clock, zap.NewNop(), func(update Update) { updates = append(updates, update) }, func() Schedule { return Schedule{} })
		Expect(follower.readOnce(context.Background())).To(Succeed())
		clock.Advance(time.Minute)
	})

	// Guards against hosts that take the shorter log for an older state and read nothing more.
	It("is listed at once, and again when all have had time to write again", func() {
		restore()
		Expect(updates).To(HaveLen(2))
		Expect(updates[1].Restored).To(BeTrue())
		Expect(follower.NextOffset()).To(Equal(cherrykeel.Position(2, 5)))
		Expect(follower.AvailableFor()).To(BeZero(), "entries that the copy lacks are not gone yet")
		Expect(follower.readOnce(context.Background())).To(Succeed())
		Expect(log.listings).To(Equal(2))
		clock.Advance(ReregistrationTime)
		Expect(follower.readOnce(context.Background())).To(Succeed())
		Expect(log.listings).To(Equal(3))
		Expect(updates[len(updates)-1].Restored).To(BeFalse())
	})

	// Guards against an answer of the era before that arrives late and takes the host back.
	It("is not taken back by a listing of the era before", func() {
		restore()
		log.batch = cherrykeel.KeyedBatch{Next: cherrykeel.Position(1, 200)}
		Expect(follower.readOnce(context.Background())).To(Succeed())
		Expect(follower.NextOffset()).To(Equal(cherrykeel.Position(2, 5)))
		Expect(updates).To(HaveLen(2))
	})

	// Guards against an evacuated zone that gets requests because the copy lacks the order.
	It("does not end an evacuation that the copy lacks before the operator could order it again", func() {
		zones := NewZones("z/", clock, zap.NewNop(), func() {}, func(cherrykeel.KeyedRecord) {})
		zones.Apply(Update{Snapshot: true, Next: cherrykeel.Position(1, 9), Records: []cherrykeel.KeyedRecord{{Key: "z/a", Value: []byte("1"), Offset: cherrykeel.Position(1, 8)}}})
		zones.Apply(Update{Snapshot: true, Restored: true, Next: cherrykeel.Position(2, 5)})
		Expect(zones.Evacuated()).To(HaveKey("a"))
		zones.Apply(Update{Snapshot: true, Next: cherrykeel.Position(2, 5)})
		Expect(zones.Evacuated()).To(BeEmpty())
	})

	// Guards against an upstream that leaves, or is gone, and gets requests again by its entry in the copy.
	It("does not make an upstream ready by an entry in the copy", func() {
		decode := func(id string, value []byte) (cherrykeel.Upstream, error) {
			return cherrykeel.Upstream{ID: id, StartedAt: 1, Leaving: string(value) == "leaving"}, nil
		}
		upstreams := NewUpstreams(decode, clock, zap.NewNop(), func() {}, func([]cherrykeel.KeyedRecord, int64) {})
		record := func(value string, position int64) Update {
			return Update{Records: []cherrykeel.KeyedRecord{{Key: "u", Value: []byte(value), Offset: position}}}
		}
		upstreams.Apply(record("ready", cherrykeel.Position(1, 3)))
		upstreams.Apply(record("leaving", cherrykeel.Position(1, 80)))
		copied := record("ready", cherrykeel.Position(2, 3))
		copied.Snapshot, copied.Restored = true, true
		upstreams.Apply(copied)
		Expect(upstreams.IsLeaving("u", 1)).To(BeTrue())
		upstreams.Apply(record("ready", cherrykeel.Position(2, 6)))
		Expect(upstreams.IsLeaving("u", 1)).To(BeFalse(), "its own heartbeat counts")
	})

	// Guards against a host whose table is replaced by the older one of the copy, and against one that takes the copy for complete.
	It("tells the copy's table from the one that the host knows", func() {
		table := func(term, offset int64, owner string) cherrykeel.KeyedRecord {
			value, err := spans.Table{Term: term, Keeper: "h", Incarnation: "i", Services: map[string][]spans.Owned{"s": {{Last: cherrykeel.MaxKey, Owner: owner}}}}.Encode()
			Expect(err).NotTo(HaveOccurred())
			return cherrykeel.KeyedRecord{Key: SpansKey, Value: value, Offset: offset}
		}
		newView := func() *Spans {
			return NewSpans(clock, zap.NewNop(), func() {}, func(spans.Table, int64) {})
		}
		term := cherrykeel.Position(1, 20)
		knowing := newView()
		knowing.Apply(Update{Snapshot: true, Next: cherrykeel.Position(1, 31), Records: []cherrykeel.KeyedRecord{table(term, cherrykeel.Position(1, 30), "b")}})
		copied := Update{Snapshot: true, Restored: true, Next: cherrykeel.Position(2, 26), Records: []cherrykeel.KeyedRecord{table(term, cherrykeel.Position(2, 25), "a")}}
		knowing.Apply(copied)
		Expect(knowing.Owner("s", 0).ID).To(Equal("b"))
		Expect(knowing.IsCorrupt()).To(BeTrue(), "the keeper writes the table again")
		Expect(knowing.IsFromCopy()).To(BeFalse())
		_, next, _ := knowing.Current()
		Expect(next).To(Equal(cherrykeel.Position(2, 26)))

		copied.Restored = false
		starting := newView()
		starting.Apply(copied)
		Expect(starting.Owner("s", 0).ID).To(Equal("a"))
		Expect(starting.IsFromCopy()).To(BeTrue())
		claimed := Update{Next: cherrykeel.Position(2, 27), Records: []cherrykeel.KeyedRecord{table(cherrykeel.Position(2, 26), cherrykeel.Position(2, 26), "b")}}
		starting.Apply(claimed)
		knowing.Apply(claimed)
		Expect(starting.IsFromCopy()).To(BeFalse())
		Expect(knowing.IsCorrupt()).To(BeFalse())

		// An append that was prepared before the return and is carried out after it.
		late := Update{Next: cherrykeel.Position(2, 28), Records: []cherrykeel.KeyedRecord{table(term, cherrykeel.Position(2, 27), "c")}}
		knowing.Apply(late)
		Expect(knowing.Owner("s", 0).ID).To(Equal("b"))
		Expect(knowing.IsCorrupt()).To(BeTrue())
	})

	// Guards against hosts that take the copy's table for complete since another host that has just read it announces it.
	DescribeTable("is not known better by an announcement", func(readFirst bool) {
		term := cherrykeel.Position(1, 20)
		table := spans.Table{Version: cherrykeel.Position(1, 25), Term: term, Keeper: "h", Incarnation: "i"}
		value, err := table.Encode()
		Expect(err).NotTo(HaveOccurred())
		view := NewSpans(clock, zap.NewNop(), func() {}, func(spans.Table, int64) {})
		listing := Update{Snapshot: true, Next: cherrykeel.Position(2, 26), Records: []cherrykeel.KeyedRecord{{Key: SpansKey, Value: value, Offset: cherrykeel.Position(2, 25)}}}
		if readFirst {
			view.Apply(Update{Snapshot: true, Next: cherrykeel.Position(2, 20)})
		}
		Expect(view.ApplyChange(table, -1)).To(BeTrue())
		view.Apply(listing)
		Expect(view.IsFromCopy()).To(BeTrue())
	},
		Entry("before it has read the topic", false),
		Entry("after it has read the topic", true),
	)
})
