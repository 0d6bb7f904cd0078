package poison_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/poison"
)

var _ = Describe("one request of several callers at upstreams' ends", func() {
	var table *poison.Table
	at := int64(noon)

	BeforeEach(func() {
		table = poison.NewTable()
		at = noon
	})

	// end has an upstream end while callers' copies of a request are at work there.
	end := func(upstream string, request int, marks ...poison.CallerFingerprint) {
		at += 5000
		table.RecordCrash(ended(request, upstream, marks...), at)
	}

	// Guards against addresses that change with each send: no caller stands at three ends.
	It("is refused to all when no caller stands at each of them", func() {
		end("a", 1, "x")
		end("b", 1, "y")
		end("c", 1, "x")
		Expect(table.IsDenied(identity(1), "z")).To(BeTrue())
		Expect(table.DenialScope(identity(1))).To(Equal(poison.DenialScope{AllCallers: true}))
	})

	// Guards against a caller who ends upstreams to have a page denied to all who ask for it.
	It("is refused to the one caller that stands at each of them, and to no other", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			end(upstream, 1, "x")
		}
		Expect(table.IsDenied(identity(1), "x")).To(BeTrue())
		Expect(table.IsDenied(identity(1), "y", "x")).To(BeTrue(), "by any of its marks")
		Expect(table.IsDenied(identity(1), "y")).To(BeFalse())
		Expect(table.IsSuspected(identity(1), "y")).To(BeTrue())
		end("d", 1, "y")
		Expect(table.IsDenied(identity(1), "z")).To(BeTrue())
	})

	// Guards against one bad request that denies a page which upstreams serve to others all the while.
	It("stays open to those who have had good answers, and to others, though one caller's ends upstreams", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			end(upstream, 1, "x", "y")
			table.RecordAnswer(identity(1), "y")
		}
		Expect(table.IsDenied(identity(1), "x")).To(BeTrue())
		Expect(table.IsDenied(identity(1), "y")).To(BeFalse())
		Expect(table.IsDenied(identity(1), "z")).To(BeFalse())
		Expect(table.IsSuspected(identity(1), "z")).To(BeFalse())
	})

	// Guards against a page that many ask for being denied by chance: it stands at three ends, served between.
	It("is refused to nobody if each caller has had a good answer since", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			end(upstream, 1, "x", "y")
		}
		table.RecordAnswer(identity(1), "x")
		Expect(table.IsDenied(identity(1), "z")).To(BeFalse())
		table.RecordAnswer(identity(1), "y")
		Expect(table.DenialScope(identity(1)).IsEmpty()).To(BeTrue())
	})

	// Guards against an innocent page's denial beside a request that ends upstreams for one caller alone.
	It("is held against the request whose one caller stands at the most ends", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			end(upstream, 1, "x")
			table.RecordAnswer(identity(1), "other")
			table.RecordCrash(ended(2, upstream, "y"), at)
			table.RecordCrash(ended(2, upstream, "z"), at)
		}
		end("d", 1, "x")
		Expect(table.IsDenied(identity(1), "x")).To(BeTrue())
		table = poison.NewTable()
		end("0", 1, "x")
		for _, upstream := range []string{"a", "b", "c"} {
			end(upstream, 1, "x")
			table.RecordAnswer(identity(1), "other")
			table.RecordCrash(ended(2, upstream, poison.CallerFingerprint(upstream)), at)
		}
		Expect(table.IsDenied(identity(2), "z")).To(BeFalse())
	})

	// Guards against a page denied to all after a loss of power: copies of it were at work at each upstream, and no answer
	// can come since. Once a copy sent after that ends an upstream too, it is refused.
	It("is not refused to all for copies that were at work together", func() {
		sent := func(upstream string, begun, at int, mark poison.CallerFingerprint) {
			found := ended(1, upstream, mark)
			found.SentAt = cherrykeel.Instant(time.Duration(begun) * time.Millisecond)
			found.EndedAt = cherrykeel.Instant(time.Duration(at) * time.Millisecond)
			table.RecordCrash(found, noon+int64(at))
		}
		for number, upstream := range []string{"a", "b", "c", "d", "e"} {
			sent(upstream, number, 100+number, poison.CallerFingerprint(upstream))
		}
		Expect(table.IsDenied(identity(1), "z")).To(BeFalse())
		sent("f", 200, 210, "f")
		Expect(table.IsDenied(identity(1), "z")).To(BeTrue())
	})

	// Guards against a flood of addresses that pushes out what is known, or that grows without a bound.
	It("keeps a bounded record of a flood of addresses", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			at += 5000
			for number := range 1000 {
				table.RecordCrash(ended(1, upstream, poison.CallerFingerprint(fmt.Sprint(number))), at)
			}
		}
		record, _ := table.Find(identity(1))
		value, _ := record.Encode()
		Expect(len(value)).To(BeNumerically("<", 4096))
		_, known := table.Counts()
		Expect(known).To(Equal(1))
		Expect(table.DenialScope(identity(1)).IsEmpty()).To(BeFalse())
	})
})
