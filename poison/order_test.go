package poison_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/poison"
)

// crashRecord returns a record of one crash of an upstream; times are in milliseconds after noon.
func crashRecord(upstream string, seenAt, sentAt int64, callers ...poison.CallerFingerprint) poison.Record {
	answered := map[poison.CallerFingerprint]bool{}
	for _, caller := range callers {
		answered[caller] = false
	}
	crash := poison.Crash{Incarnation: poison.Incarnation{Upstream: upstream, StartedAt: 5}, SeenAt: noon + seenAt, SentAt: noon + sentAt, Callers: answered}
	return poison.Record{Fingerprint: fingerprint(1), Service: "s", Crashes: []poison.Crash{crash}}
}

// incompleteRecord returns such a record from a host that reports neither callers nor when the request was sent.
func incompleteRecord(upstream string, seenAt int64) poison.Record {
	record := crashRecord(upstream, seenAt, 0)
	record.Crashes[0].SentAt = 0
	record.Crashes[0].Callers = nil
	return record
}

func tableOf(records ...poison.Record) *poison.Table {
	table := poison.NewTable()
	for _, record := range records {
		table.Merge(record, noon+10000)
	}
	return table
}

var _ = Describe("hosts that receive the same records in another order", func() {
	// Guards against hosts with equal records that deny different requests for good.
	DescribeTable("deny the same", func(records ...poison.Record) {
		expected := tableOf(records...).DenialScope(fingerprint(1))
		for start := range records {
			rotated := append(append([]poison.Record{}, records[start:]...), records[:start]...)
			table := tableOf(rotated...)
			Expect(table.DenialScope(fingerprint(1))).To(Equal(expected))
			record, known := table.Find(fingerprint(1))
			Expect(known).To(BeTrue())
			Expect(tableOf(record).DenialScope(fingerprint(1))).To(Equal(expected), "a host that starts from the record")
		}
	},
		Entry("with a crash that two hosts saw at different times",
			crashRecord("a", 100, 0, "x"), crashRecord("a", 160, 0, "x"), crashRecord("b", 200, 130, "y"), crashRecord("c", 210, 50, "z")),
		Entry("with a caller that one of them recorded later",
			crashRecord("a", 0, -1, "x"), crashRecord("b", 5000, 4999, "y"), crashRecord("c", 9000, 8999, "x"), crashRecord("b", 5000, 4999, "x")),
		Entry("from hosts that report no callers",
			incompleteRecord("a", 0), incompleteRecord("b", 3000), incompleteRecord("c", 6000),
			crashRecord("a", 0, -1, "x"), crashRecord("b", 3000, 2999, "x"), crashRecord("c", 6000, 5999, "x")),
	)

	// Guards against the crash of one incarnation that counts as three, since reports of it arrive late.
	It("count the crash of one incarnation once, however late they receive it", func() {
		table := tableOf(crashRecord("a", 0, -100, "x"), crashRecord("a", 2000, 1900, "y"), crashRecord("a", 4000, 3900, "z"))
		Expect(table.DenialScope(fingerprint(1)).IsEmpty()).To(BeTrue())
	})

	// Guards against a page denied to all callers of one address, since upstreams lost power together.
	It("deny nothing to an address for copies that were running at the same time", func() {
		table := tableOf(crashRecord("a", 100, 0, "proxya", "1c"), crashRecord("b", 101, 1, "proxya", "2c"), crashRecord("c", 102, 2, "proxya", "3c"))
		Expect(table.IsDenied(fingerprint(1), "proxya", "4c")).To(BeFalse())
		single := tableOf(crashRecord("a", 100, 0, "proxya", "1c"), crashRecord("b", 101, 1, "proxya", "1c"), crashRecord("c", 102, 2, "proxya", "1c"))
		Expect(single.IsDenied(fingerprint(1), "proxya", "1c")).To(BeTrue(), "one caller's copies")
	})
})
