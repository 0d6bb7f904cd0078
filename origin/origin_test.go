package origin

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

func TestOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "origin")
}

// conclusions are all that an answer may show.
var conclusions = []Conclusion{Answered, NotRun, Misdirected, Replaced, Doubtful, Alive, Leaving, Rest, Limit, Load, Healthy, Granted, Released}

// replies returns answers to a call of the request "r" to the upstream "u" with all names, refusals of all kinds.
func replies() []cherrykeel.ReplyHeaders {
	var all []cherrykeel.ReplyHeaders
	for _, id := range []string{"", "r", "q"} {
		for _, instance := range []string{"", "u", "v"} {
			for bits := range 8 {
				misdirected := bits&1 != 0
				all = append(all, cherrykeel.ReplyHeaders{
					ID: id, Instance: instance, Misdirected: misdirected, NotRun: misdirected || bits&2 != 0, Contradictory: bits&4 != 0,
				})
			}
		}
	}
	return all
}

var _ = Describe("an answer", func() {
	request := Call{Kind: Request, ID: "r", Upstream: "u"}
	shows := func(call Call, reply cherrykeel.ReplyHeaders) []Conclusion {
		var shown []Conclusion
		for _, conclusion := range conclusions {
			if Shows(conclusion, call, reply) {
				shown = append(shown, conclusion)
			}
		}
		return shown
	}

	// Guards against a conclusion that is drawn of an answer which names less than that takes.
	DescribeTable("shows", func(call Call, reply cherrykeel.ReplyHeaders, expected ...Conclusion) {
		Expect(shows(call, reply)).To(ConsistOf(expected))
	},
		Entry("of a request, with its ID", request, cherrykeel.ReplyHeaders{ID: "r"}, Answered, Alive, Leaving, Rest, Limit, Load),
		Entry("of a request, a refusal with its ID", request, cherrykeel.ReplyHeaders{ID: "r", NotRun: true}, Answered, NotRun, Alive, Leaving, Rest, Limit, Load),
		Entry("of a request, that the upstream lacks the key", request, cherrykeel.ReplyHeaders{ID: "r", Instance: "u", NotRun: true, Misdirected: true}, Answered, NotRun, Misdirected, Alive, Leaving, Rest, Limit, Load),
		Entry("of a request, that another upstream has the address", request, cherrykeel.ReplyHeaders{ID: "r", Instance: "v", NotRun: true, Misdirected: true}, NotRun, Misdirected, Replaced, Doubtful),
		Entry("of a request, the same without its ID", request, cherrykeel.ReplyHeaders{Instance: "v", NotRun: true, Misdirected: true}, Doubtful),
		Entry("of a request without an ID, an answer without one", Call{Kind: Request, Upstream: "u"}, cherrykeel.ReplyHeaders{NotRun: true}, Answered),
		Entry("of an order on a kept connection", Call{Kind: Order, Upstream: "u"}, cherrykeel.ReplyHeaders{}, Granted),
		Entry("of an order on a connection of its own", Call{Kind: Order, Upstream: "u", Alone: true}, cherrykeel.ReplyHeaders{}, Granted, Released),
		Entry("of an order on a kept connection, another upstream", Call{Kind: Order, Upstream: "u"}, cherrykeel.ReplyHeaders{Instance: "v", NotRun: true, Misdirected: true}, Doubtful),
		Entry("of an order on a connection of its own, another upstream", Call{Kind: Order, Upstream: "u", Alone: true}, cherrykeel.ReplyHeaders{Instance: "v", NotRun: true, Misdirected: true}, Doubtful, Replaced),
		Entry("of a check, with the upstream's name", Call{Kind: Check, Upstream: "u"}, cherrykeel.ReplyHeaders{Instance: "u"}, Healthy, Leaving),
		Entry("of a check, a refusal without a name", Call{Kind: Check, Upstream: "u"}, cherrykeel.ReplyHeaders{NotRun: true}, Rest),
		Entry("of a check on a kept connection, another upstream", Call{Kind: Check, Upstream: "u"}, cherrykeel.ReplyHeaders{Instance: "v"}),
		Entry("of a check on a connection of its own, another upstream", Call{Kind: Check, Upstream: "u", Alone: true}, cherrykeel.ReplyHeaders{Instance: "v"}, Replaced),
	)

	// Guards against a rule for one more conclusion that forgets what all of them take.
	It("shows nothing of a request that it does not name, or where it names several", func() {
		for _, reply := range replies() {
			if reply.ID == "r" && !reply.Contradictory {
				continue
			}
			Expect(shows(request, reply)).To(Or(BeEmpty(), Equal([]Conclusion{Doubtful})), "%+v", reply)
		}
	})

	// Guards against anything that is believed of bytes which are no answer.
	It("shows nothing if its headers cannot be an answer's", func() {
		for _, reply := range replies() {
			reply.Malformed = "x"
			for _, kind := range []Kind{Request, Order, Check} {
				Expect(shows(Call{Kind: kind, ID: "r", Upstream: "u", Alone: true}, reply)).To(BeEmpty(), "%+v", reply)
			}
		}
	})

	// Guards against a running upstream that counts as ended.
	It("ends an upstream only if it names another one, and the request or comes on a connection of its own", func() {
		for _, kind := range []Kind{Request, Order, Check} {
			for _, alone := range []bool{false, true} {
				for _, reply := range replies() {
					if Shows(Replaced, Call{Kind: kind, ID: "r", Upstream: "u", Alone: alone}, reply) {
						Expect(reply.Instance).To(Equal("v"))
						Expect(reply.ID == "r" || kind != Request && alone).To(BeTrue(), "%+v", reply)
					}
				}
			}
		}
	})

	// Guards against waiting for another answer behind the request's own one, and against taking the first of two.
	DescribeTable("is foreign", func(reply cherrykeel.ReplyHeaders, expected bool) {
		Expect(IsForeign(request, reply)).To(Equal(expected))
	},
		Entry("if it names another request", cherrykeel.ReplyHeaders{ID: "q"}, true),
		Entry("if it names none", cherrykeel.ReplyHeaders{}, true),
		Entry("not if it is the request's", cherrykeel.ReplyHeaders{ID: "r"}, false),
		Entry("not if it names several, of which one may be the request", cherrykeel.ReplyHeaders{ID: "q", Contradictory: true}, false),
	)
})
