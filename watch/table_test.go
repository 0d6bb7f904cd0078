package watch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/spans"
	"cherrykeel/watch"
)

var _ = Describe("the table of spans", func() {
	// The keeper writes a new owner and grants it the keys a few milliseconds later. A request that is sent
	// in between is refused and costs the retry budget, so it waits that long.
	It("holds requests back until a new owner has its grant", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		view := watch.NewSpans(clock, zap.NewNop(), func() {}, func(spans.Table, int64) {})
		write := func(owner string, offset int64) {
			table := spans.Table{Services: map[string][]spans.Owned{"s": {{First: 0, Last: cherrykeel.MaxKey, Owner: owner, Fence: offset}}}}
			value, err := table.Encode()
			Expect(err).NotTo(HaveOccurred())
			view.ApplyOwnWrite(value, offset)
		}
		write("a", 1)
		clock.Advance(time.Second)
		Expect(view.Owner("s", 7).InTransfer).To(BeFalse())
		write("a", 2)
		Expect(view.Owner("s", 7).InTransfer).To(BeFalse(), "the same owner goes on")
		write("b", 3)
		Expect(view.Owner("s", 7).InTransfer).To(BeTrue())
		clock.Advance(50 * time.Millisecond)
		Expect(view.Owner("s", 7).ID).To(Equal("b"))
		Expect(view.Owner("s", 7).InTransfer).To(BeFalse())
		write("a", 2)
		Expect(view.Owner("s", 7).ID).To(Equal("b"))
	})

	// Another writer's record stands in the table's place. A host that starts then finds no table; were it to claim
	// at once it would deal all keys to new owners beside the old ones. It waits until none of those is left.
	It("is not taken for empty while another writer's record stands there", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		view := watch.NewSpans(clock, zap.NewNop(), func() {}, func(spans.Table, int64) {})
		for offset, value := range []string{`{}`, `[]`, `{"Term":-3}`, `{"Term":0,"Services":{"s":[{"First":9,"Last":3,"Owner":"a"}]}}`, "\xff"} {
			view.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{{Key: watch.SpansKey, Value: []byte(value), Offset: int64(offset)}}, Next: int64(offset) + 1})
			Expect(view.IsCorrupt()).To(BeTrue(), value)
		}
		_, _, known := view.Current()
		Expect(known).To(BeFalse())
		clock.Advance(21 * time.Second)
		_, next, known := view.Current()
		Expect(known).To(BeTrue())
		Expect(next).To(Equal(int64(5)))
	})

	// Hosts are told what a move changed, and datagrams are lost. A change that follows a version that the
	// host has not seen must not be laid over the one it knows: keys would have an owner that they never had.
	It("takes a told change only if it follows the version known", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		var announced []spans.Table
		var befores []int64
		writer := watch.NewSpans(clock, zap.NewNop(), func() {}, func(change spans.Table, before int64) {
			announced = append(announced, change)
			befores = append(befores, before)
		})
		for offset, owners := range [][2]string{{"a", "b"}, {"c", "b"}, {"c", "d"}} {
			table := spans.Table{Term: 1, Keeper: "h", Services: map[string][]spans.Owned{"s": {
				{First: 0, Last: 99, Owner: owners[0]}, {First: 100, Last: cherrykeel.MaxKey, Owner: owners[1]},
			}}}
			value, err := table.Encode()
			Expect(err).NotTo(HaveOccurred())
			writer.Apply(watch.Update{Records: []cherrykeel.KeyedRecord{{Key: watch.SpansKey, Value: value, Offset: int64(offset)}}, Next: int64(offset) + 1})
		}
		Expect(announced).To(HaveLen(3))
		reader := watch.NewSpans(clock, zap.NewNop(), func() {}, func(spans.Table, int64) {})
		Expect(reader.ApplyChange(announced[0], befores[0])).To(BeTrue())
		Expect(reader.ApplyChange(announced[2], befores[2])).To(BeFalse(), "the second was lost")
		Expect(reader.Owner("s", 7).ID).To(Equal("a"))
		Expect(reader.ApplyChange(announced[1], befores[1])).To(BeTrue())
		Expect(reader.ApplyChange(announced[2], befores[2])).To(BeTrue())
		Expect(reader.ApplyChange(announced[1], befores[1])).To(BeTrue(), "one that comes again changes nothing")
		want, _, _ := writer.Current()
		got, _, _ := reader.Current()
		Expect(got).To(Equal(want))
	})
})
