package poison_test

import (
	"encoding/binary"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/poison"
)

// noon is when the tests begin, in Unix milliseconds.
const noon = 1_800_000_000_000

func identity(number int) poison.Fingerprint {
	var identity poison.Fingerprint
	binary.BigEndian.PutUint32(identity[:], uint32(number))
	return identity
}

// ended is a request at the end of an upstream.
func ended(request int, upstream string, marks ...poison.CallerFingerprint) poison.UnansweredAttempt {
	return poison.UnansweredAttempt{Fingerprint: identity(request), Service: "s", Incarnation: poison.Incarnation{Upstream: upstream}, CallerFingerprints: marks}
}

var _ = Describe("what is known of requests at upstreams' ends", func() {
	var table *poison.Table
	at := int64(noon)

	BeforeEach(func() {
		table = poison.NewTable()
		at = noon
	})

	// end has an upstream end with some requests at work.
	end := func(upstream string, requests ...int) {
		at += 5000
		for _, request := range requests {
			table.RecordCrash(ended(request, upstream), at)
		}
	}

	It("has a request refused at its third end, not before", func() {
		end("a", 1)
		end("b", 1)
		Expect(table.IsDenied(identity(1))).To(BeFalse())
		Expect(table.IsSuspected(identity(1))).To(BeTrue())
		end("c", 1)
		Expect(table.IsDenied(identity(1))).To(BeTrue())
	})

	It("counts the end of one life once, whoever saw it and when, and the next end of the same name again", func() {
		table.RecordCrash(ended(1, "a"), noon)
		table.RecordCrash(ended(1, "a"), noon+900)
		table.RecordCrash(ended(1, "a"), noon-900)
		end("b", 1)
		Expect(table.IsDenied(identity(1))).To(BeFalse())
		table.RecordCrash(ended(1, "a"), noon+20_000)
		Expect(table.IsDenied(identity(1))).To(BeTrue())
	})

	// One request ends upstream after upstream. A busy one of another caller stands beside it at two of three ends and at
	// one more. Refused for that, its caller is denied for an hour.
	It("holds an end against those that stand at the most ends", func() {
		end("a", 1, 2)
		end("b", 1, 2)
		end("c", 1)
		end("d", 1, 2)
		Expect(table.IsDenied(identity(1))).To(BeTrue())
		Expect(table.IsDenied(identity(2))).To(BeFalse())
	})

	// Two requests end upstreams, at times the same one. One of them must not hide the other for ever.
	It("finds two that end upstreams by turns", func() {
		end("a", 1, 2)
		end("b", 1)
		end("c", 1)
		for i := range poison.CrashesToDeny {
			end(fmt.Sprint("d", i), 2)
		}
		Expect(table.IsDenied(identity(1))).To(BeTrue())
		Expect(table.IsDenied(identity(2))).To(BeTrue())
	})

	// What is refused is sent no more, so it cannot come to stand at more ends; what stood beside it can.
	It("goes on refusing what others have overtaken", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			end(upstream, 1, 2)
		}
		end("d", 2)
		Expect(table.IsDenied(identity(1))).To(BeTrue())
	})

	It("takes all back when an upstream has served the request, and stays so though old word comes late", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			end(upstream, 1)
		}
		late, _ := table.Find(identity(1))
		table.RecordAnswer(identity(1))
		Expect(table.IsDenied(identity(1))).To(BeFalse())
		table.Merge(late, at)
		Expect(table.IsDenied(identity(1))).To(BeFalse())
		Expect(table.IsSuspected(identity(1))).To(BeFalse())
	})

	It("is forgotten an hour after the last end", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			end(upstream, 1)
		}
		Expect(table.RemoveExpired(at + time.Hour.Milliseconds())).To(BeEmpty())
		Expect(table.RemoveExpired(at + time.Hour.Milliseconds() + 1)).To(Equal([]poison.Fingerprint{identity(1)}))
		Expect(table.IsDenied(identity(1))).To(BeFalse())
		Expect(table.HasTarget(identity(1).Target())).To(BeFalse())
	})

	// A caller sends many different requests to upstreams that end. None of them may push out what is known to end
	// upstreams, or it ends three more.
	It("is bounded, and a flood pushes out nothing that is refused", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			end(upstream, 0)
		}
		for request := 1; request <= 3000; request++ {
			table.RecordCrash(ended(request, fmt.Sprint("f", request/20)), at+int64(request))
		}
		refused, known := table.Counts()
		Expect(refused).To(Equal(1))
		Expect(known).To(BeNumerically("<", 1000))
		Expect(table.IsDenied(identity(0))).To(BeTrue())
	})

	It("is the same after it was written and read", func() {
		end("a", 1)
		end("b", 1)
		record, _ := table.Find(identity(1))
		value, err := record.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(poison.DecodeRecord(identity(1).String(), value)).To(Equal(record))
	})

	DescribeTable("is not taken from what is no record", func(key, value string) {
		_, err := poison.DecodeRecord(key, []byte(value))
		Expect(err).To(HaveOccurred())
	},
		Entry("another key", "front-1", `{"Ends":[{"Upstream":"a","At":1}]}`),
		Entry("no JSON", identity(1).String(), `{`),
		Entry("no ends", identity(1).String(), `{"Service":"s"}`),
		Entry("thousands of callers", identity(1).String(), `{"Ends":[{"Upstream":"a","At":1,"Callers":{`+manyCallers(5000)+`"x":true}}]}`),
		Entry("thousands of ends", identity(1).String(), `{"Ends":[`+many(5000)+`{"Upstream":"a","At":1}]}`),
	)
})

func manyCallers(count int) string {
	text := ""
	for number := range count {
		text += fmt.Sprintf(`"%d":true,`, number)
	}
	return text
}

func many(count int) string {
	text := ""
	for range count {
		text += `{"Upstream":"a","At":1},`
	}
	return text
}
