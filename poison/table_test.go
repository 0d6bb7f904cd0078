package poison_test

import (
	"encoding/binary"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/poison"
)

// noon is the time at which the tests start, in Unix milliseconds.
const noon = 1_800_000_000_000

func fingerprint(number int) poison.Fingerprint {
	var fingerprint poison.Fingerprint
	binary.BigEndian.PutUint32(fingerprint[:], uint32(number))
	return fingerprint
}

// attempt returns a request's attempt at an upstream that crashes.
func attempt(request int, upstream string, callers ...poison.CallerFingerprint) poison.UnansweredAttempt {
	return poison.UnansweredAttempt{Fingerprint: fingerprint(request), Service: "s", Incarnation: poison.Incarnation{Upstream: upstream}, CallerFingerprints: callers}
}

var _ = Describe("the table of requests at crashes", func() {
	var table *poison.Table
	now := int64(noon)

	BeforeEach(func() {
		table = poison.NewTable()
		now = noon
	})

	// crash records the crash of an upstream that was running some requests.
	crash := func(upstream string, requests ...int) {
		now += 5000
		for _, request := range requests {
			table.RecordCrash(attempt(request, upstream), now)
		}
	}

	It("denies a request at its third crash, not before", func() {
		crash("a", 1)
		crash("b", 1)
		Expect(table.IsDenied(fingerprint(1))).To(BeFalse())
		Expect(table.IsSuspected(fingerprint(1))).To(BeTrue())
		crash("c", 1)
		Expect(table.IsDenied(fingerprint(1))).To(BeTrue())
	})

	It("counts the crash of one incarnation once, whoever saw it and when, and a later crash of the same upstream again", func() {
		table.RecordCrash(attempt(1, "a"), noon)
		table.RecordCrash(attempt(1, "a"), noon+900)
		table.RecordCrash(attempt(1, "a"), noon-900)
		crash("b", 1)
		Expect(table.IsDenied(fingerprint(1))).To(BeFalse())
		table.RecordCrash(attempt(1, "a"), noon+20_000)
		Expect(table.IsDenied(fingerprint(1))).To(BeTrue())
	})

	// Guards against denying an innocent request for an hour: it was running beside the one that crashes upstreams at two
	// of its three crashes, and at one more by chance.
	It("attributes a crash to the requests with the most crashes", func() {
		crash("a", 1, 2)
		crash("b", 1, 2)
		crash("c", 1)
		crash("d", 1, 2)
		Expect(table.IsDenied(fingerprint(1))).To(BeTrue())
		Expect(table.IsDenied(fingerprint(2))).To(BeFalse())
	})

	// Guards against a request that crashes upstreams hiding another one for good, since both were running at one crash.
	It("denies two requests that crash upstreams in turn", func() {
		crash("a", 1, 2)
		crash("b", 1)
		crash("c", 1)
		for i := range poison.CrashesToDeny {
			crash(fmt.Sprint("d", i), 2)
		}
		Expect(table.IsDenied(fingerprint(1))).To(BeTrue())
		Expect(table.IsDenied(fingerprint(2))).To(BeTrue())
	})

	// Guards against a denied request that is sent again: it gets no more crashes, while a request that was running
	// beside it can get more and so outnumber it.
	It("keeps denying a request when another one gets more crashes", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			crash(upstream, 1, 2)
		}
		crash("d", 2)
		Expect(table.IsDenied(fingerprint(1))).To(BeTrue())
	})

	It("stops denying a request that an upstream has answered, even if an older record is received later", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			crash(upstream, 1)
		}
		older, _ := table.Find(fingerprint(1))
		table.RecordAnswer(fingerprint(1))
		Expect(table.IsDenied(fingerprint(1))).To(BeFalse())
		table.Merge(older, now)
		Expect(table.IsDenied(fingerprint(1))).To(BeFalse())
		Expect(table.IsSuspected(fingerprint(1))).To(BeFalse())
	})

	It("forgets a request an hour after its last crash", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			crash(upstream, 1)
		}
		Expect(table.RemoveExpired(now + time.Hour.Milliseconds())).To(BeEmpty())
		Expect(table.RemoveExpired(now + time.Hour.Milliseconds() + 1)).To(Equal([]poison.Fingerprint{fingerprint(1)}))
		Expect(table.IsDenied(fingerprint(1))).To(BeFalse())
		Expect(table.HasTarget(fingerprint(1).Target())).To(BeFalse())
	})

	// Guards against a flood of different requests at crashes that displaces a denied one, which then crashes three more
	// upstreams.
	It("is limited in size, and a flood displaces no denied request", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			crash(upstream, 0)
		}
		for request := 1; request <= 3000; request++ {
			table.RecordCrash(attempt(request, fmt.Sprint("f", request/20)), now+int64(request))
		}
		denied, total := table.Counts()
		Expect(denied).To(Equal(1))
		Expect(total).To(BeNumerically("<", 1000))
		Expect(table.IsDenied(fingerprint(0))).To(BeTrue())
	})

	It("has records that are equal after encoding and decoding", func() {
		crash("a", 1)
		crash("b", 1)
		record, _ := table.Find(fingerprint(1))
		value, err := record.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(poison.DecodeRecord(fingerprint(1).String(), value)).To(Equal(record))
	})

	DescribeTable("has records that are not decoded from malformed data", func(key, value string) {
		_, err := poison.DecodeRecord(key, []byte(value))
		Expect(err).To(HaveOccurred())
	},
		Entry("a key that is no fingerprint", "front-1", `{"Ends":[{"Upstream":"a","At":1}]}`),
		Entry("malformed JSON", fingerprint(1).String(), `{`),
		Entry("no crashes", fingerprint(1).String(), `{"Service":"s"}`),
		Entry("thousands of callers", fingerprint(1).String(), `{"Ends":[{"Upstream":"a","At":1,"Callers":{`+manyCallersJSON(5000)+`"x":true}}]}`),
		Entry("thousands of crashes", fingerprint(1).String(), `{"Ends":[`+manyCrashesJSON(5000)+`{"Upstream":"a","At":1}]}`),
	)
})

func manyCallersJSON(count int) string {
	text := ""
	for number := range count {
		text += fmt.Sprintf(`"%d":true,`, number)
	}
	return text
}

func manyCrashesJSON(count int) string {
	text := ""
	for range count {
		text += `{"Upstream":"a","At":1},`
	}
	return text
}
