package poison_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/poison"
)

// oneEnd is a word of an upstream's end, in milliseconds from noon on.
func oneEnd(upstream string, at, begun int64, marks ...poison.CallerFingerprint) poison.Record {
	callers := map[poison.CallerFingerprint]bool{}
	for _, mark := range marks {
		callers[mark] = false
	}
	end := poison.Crash{Incarnation: poison.Incarnation{Upstream: upstream, StartedAt: 5}, SeenAt: noon + at, SentAt: noon + begun, Callers: callers}
	return poison.Record{Fingerprint: identity(1), Service: "s", Crashes: []poison.Crash{end}}
}

// bareEnd is such a word of a host that knows neither callers nor when the request was sent.
func bareEnd(upstream string, at int64) poison.Record {
	record := oneEnd(upstream, at, 0)
	record.Crashes[0].SentAt = 0
	record.Crashes[0].Callers = nil
	return record
}

func hears(words ...poison.Record) *poison.Table {
	table := poison.NewTable()
	for _, word := range words {
		table.Merge(word, noon+10000)
	}
	return table
}

var _ = Describe("hosts that hear the same words in another order", func() {
	// Guards against hosts that refuse differently for good, though their records are alike.
	DescribeTable("refuse the same", func(words ...poison.Record) {
		want := hears(words...).DenialScope(identity(1))
		for turn := range words {
			turned := append(append([]poison.Record{}, words[turn:]...), words[:turn]...)
			table := hears(turned...)
			Expect(table.DenialScope(identity(1))).To(Equal(want))
			record, known := table.Find(identity(1))
			Expect(known).To(BeTrue())
			Expect(hears(record).DenialScope(identity(1))).To(Equal(want), "a host that starts on the record")
		}
	},
		Entry("of an end that two hosts have seen at other times",
			oneEnd("a", 100, 0, "x"), oneEnd("a", 160, 0, "x"), oneEnd("b", 200, 130, "y"), oneEnd("c", 210, 50, "z")),
		Entry("of a caller that one of them knew late",
			oneEnd("a", 0, -1, "x"), oneEnd("b", 5000, 4999, "y"), oneEnd("c", 9000, 8999, "x"), oneEnd("b", 5000, 4999, "x")),
		Entry("of hosts that know no callers",
			bareEnd("a", 0), bareEnd("b", 3000), bareEnd("c", 6000),
			oneEnd("a", 0, -1, "x"), oneEnd("b", 3000, 2999, "x"), oneEnd("c", 6000, 5999, "x")),
	)

	// Guards against one upstream's end that is told late, and counts as three.
	It("take one life's end for one, however late they hear of it", func() {
		table := hears(oneEnd("a", 0, -100, "x"), oneEnd("a", 2000, 1900, "y"), oneEnd("a", 4000, 3900, "z"))
		Expect(table.DenialScope(identity(1)).IsEmpty()).To(BeTrue())
	})

	// Guards against all that are behind one address being refused a page, since their upstreams lost power together.
	It("refuse nothing to an address for copies that were at work together", func() {
		table := hears(oneEnd("a", 100, 0, "proxya", "1c"), oneEnd("b", 101, 1, "proxya", "2c"), oneEnd("c", 102, 2, "proxya", "3c"))
		Expect(table.IsDenied(identity(1), "proxya", "4c")).To(BeFalse())
		one := hears(oneEnd("a", 100, 0, "proxya", "1c"), oneEnd("b", 101, 1, "proxya", "1c"), oneEnd("c", 102, 2, "proxya", "1c"))
		Expect(one.IsDenied(identity(1), "proxya", "1c")).To(BeTrue(), "one caller's copies")
	})
})
