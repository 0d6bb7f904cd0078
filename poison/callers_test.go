package poison_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/poison"
)

var _ = Describe("one request of several callers at crashes", func() {
	var table *poison.Table
	now := int64(noon)

	BeforeEach(func() {
		table = poison.NewTable()
		now = noon
	})

	// crash records the crash of an upstream that was running callers' copies of a request.
	crash := func(upstream string, request int, callers ...poison.CallerFingerprint) {
		now += 5000
		table.RecordCrash(attempt(request, upstream, callers...), now)
	}

	// Guards against a caller that changes its address with each send, so that no caller has three crashes.
	It("is denied to all if no caller's copy was running at each of them", func() {
		crash("a", 1, "x")
		crash("b", 1, "y")
		crash("c", 1, "x")
		Expect(table.IsDenied(fingerprint(1), "z")).To(BeTrue())
		Expect(table.DenialScope(fingerprint(1))).To(Equal(poison.DenialScope{AllCallers: true}))
	})

	// Guards against a caller that crashes upstreams in order to have a page denied to all others.
	It("is denied to the one caller whose copy was running at each of them, and to no other", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			crash(upstream, 1, "x")
		}
		Expect(table.IsDenied(fingerprint(1), "x")).To(BeTrue())
		Expect(table.IsDenied(fingerprint(1), "y", "x")).To(BeTrue(), "by any of its fingerprints")
		Expect(table.IsDenied(fingerprint(1), "y")).To(BeFalse())
		Expect(table.IsSuspected(fingerprint(1), "y")).To(BeTrue())
		crash("d", 1, "y")
		Expect(table.IsDenied(fingerprint(1), "z")).To(BeTrue())
	})

	// Guards against a page that is denied to all for one caller's bad request, while upstreams keep answering others.
	It("is not denied to callers that have had an answer, nor to others, if one caller's copy crashes upstreams", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			crash(upstream, 1, "x", "y")
			table.RecordAnswer(fingerprint(1), "y")
		}
		Expect(table.IsDenied(fingerprint(1), "x")).To(BeTrue())
		Expect(table.IsDenied(fingerprint(1), "y")).To(BeFalse())
		Expect(table.IsDenied(fingerprint(1), "z")).To(BeFalse())
		Expect(table.IsSuspected(fingerprint(1), "z")).To(BeFalse())
	})

	// Guards against a popular page being denied by chance: it was running at three crashes, and was answered since.
	It("is denied to nobody if each caller has had an answer since", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			crash(upstream, 1, "x", "y")
		}
		table.RecordAnswer(fingerprint(1), "x")
		Expect(table.IsDenied(fingerprint(1), "z")).To(BeFalse())
		table.RecordAnswer(fingerprint(1), "y")
		Expect(table.DenialScope(fingerprint(1)).IsEmpty()).To(BeTrue())
	})

	// Guards against denying an innocent page that was running beside a request that crashes upstreams for one caller.
	It("is compared with other requests by the crashes of its worst caller", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			crash(upstream, 1, "x")
			table.RecordAnswer(fingerprint(1), "other")
			table.RecordCrash(attempt(2, upstream, "y"), now)
			table.RecordCrash(attempt(2, upstream, "z"), now)
		}
		crash("d", 1, "x")
		Expect(table.IsDenied(fingerprint(1), "x")).To(BeTrue())
		table = poison.NewTable()
		crash("0", 1, "x")
		for _, upstream := range []string{"a", "b", "c"} {
			crash(upstream, 1, "x")
			table.RecordAnswer(fingerprint(1), "other")
			table.RecordCrash(attempt(2, upstream, poison.CallerFingerprint(upstream)), now)
		}
		Expect(table.IsDenied(fingerprint(2), "z")).To(BeFalse())
	})

	// Guards against a page denied to all after a power failure: copies of it were running at each upstream, and none can
	// be answered since. If a copy that is sent after that crashes an upstream too, the page is denied.
	It("is not denied to all for copies that were running at the same time", func() {
		crashAfter := func(upstream string, sentAt, endedAt int, caller poison.CallerFingerprint) {
			lost := attempt(1, upstream, caller)
			lost.SentAt = cherrykeel.Instant(time.Duration(sentAt) * time.Millisecond)
			lost.EndedAt = cherrykeel.Instant(time.Duration(endedAt) * time.Millisecond)
			table.RecordCrash(lost, noon+int64(endedAt))
		}
		for number, upstream := range []string{"a", "b", "c", "d", "e"} {
			crashAfter(upstream, number, 100+number, poison.CallerFingerprint(upstream))
		}
		Expect(table.IsDenied(fingerprint(1), "z")).To(BeFalse())
		crashAfter("f", 200, 210, "f")
		Expect(table.IsDenied(fingerprint(1), "z")).To(BeTrue())
	})

	// Guards against a flood of caller addresses that displaces records, or that makes a record grow without limit.
	It("has a record of limited size after a flood of addresses", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			now += 5000
			for number := range 1000 {
				table.RecordCrash(attempt(1, upstream, poison.CallerFingerprint(fmt.Sprint(number))), now)
			}
		}
		record, _ := table.Find(fingerprint(1))
		value, _ := record.Encode()
		Expect(len(value)).To(BeNumerically("<", 4096))
		_, total := table.Counts()
		Expect(total).To(Equal(1))
		Expect(table.DenialScope(fingerprint(1)).IsEmpty()).To(BeFalse())
	})
})
