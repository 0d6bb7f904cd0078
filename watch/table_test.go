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
	// The keeper writes a new owner and grants it the keys a few milliseconds later. A request that is sent in between
	// would be refused and use up the retry budget, so it is held back for that time.
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
		Expect(view.Owner("s", 7).InTransfer).To(BeFalse(), "the owner is the same")
		write("b", 3)
		Expect(view.Owner("s", 7).InTransfer).To(BeTrue())
		clock.Advance(50 * time.Millisecond)
		Expect(view.Owner("s", 7).ID).To(Equal("b"))
		Expect(view.Owner("s", 7).InTransfer).To(BeFalse())
		write("a", 2)
		Expect(view.Owner("s", 7).ID).To(Equal("b"))
	})

	// Another writer has overwritten the table's record. A host that starts then finds no table; if it claimed at once,
	// it would grant all keys to new owners beside the old ones. It waits until no lease of those can be left.
	It("does not count as empty while another writer's record is in its place", func() {
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

	// Hosts receive the changes of the table as datagrams, some of which are lost. A change that is based on a version
	// which the host lacks must not be applied to an older one: keys would get an owner that they never had.
	It("applies a received change only if it is based on the known version", func() {
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
		Expect(reader.ApplyChange(announced[2], befores[2])).To(BeFalse(), "the second change was lost")
		Expect(reader.Owner("s", 7).ID).To(Equal("a"))
		Expect(reader.ApplyChange(announced[1], befores[1])).To(BeTrue())
		Expect(reader.ApplyChange(announced[2], befores[2])).To(BeTrue())
		Expect(reader.ApplyChange(announced[1], befores[1])).To(BeTrue(), "a repeated change has no effect")
		want, _, _ := writer.Current()
		got, _, _ := reader.Current()
		Expect(got).To(Equal(want))
	})
})
