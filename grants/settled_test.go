package grants

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

var _ = Describe("how long a span has been with its owner", func() {
	// A neighbourhood is too hot for its owner. A part of it is moved; the rest is granted anew under its old
	// fence, which changes nothing for the owner. Counted from that grant, the rest was kept for another second
	// however busy, and again after each further cut.
	It("is told of the rest of a cut span from the whole's grant", func() {
		now := cherrykeel.Instant(time.Hour)
		whole := spans.GrantedSpan{Service: "s", Owner: "u", Span: cherrykeel.KeySpan{First: 0, Last: 99}, Fence: 4}
		keeper := &Keeper{grants: map[spans.GrantedSpan]*grantState{whole: {accepted: true, acceptedAt: now.Add(-settleTime)}}}
		rest := spans.Owned{First: 40, Last: 99, Owner: "u", Fence: 4}
		Expect(keeper.isSettled("s", rest, now)).To(BeTrue())
		state := keeper.newGrant(spans.GrantedSpan{Service: "s", Owner: "u", Span: rest.Span(), Fence: 4}, rest)
		keeper.markAccepted(state, now)
		delete(keeper.grants, whole)
		Expect(keeper.isSettled("s", rest, now)).To(BeTrue())
		Expect(keeper.isSettled("s", spans.Owned{First: 70, Last: 99, Owner: "u", Fence: 4}, now)).To(BeTrue())
	})

	It("begins with the grant of a span that has another owner or fence than before", func() {
		now := cherrykeel.Instant(time.Hour)
		before := spans.GrantedSpan{Service: "s", Owner: "u", Span: cherrykeel.KeySpan{First: 0, Last: 99}, Fence: 4}
		keeper := &Keeper{grants: map[spans.GrantedSpan]*grantState{before: {accepted: true, acceptedAt: now.Add(-settleTime)}}}
		given := spans.Owned{First: 40, Last: 60, Owner: "other", Fence: 9}
		state := keeper.newGrant(spans.GrantedSpan{Service: "s", Owner: "other", Span: given.Span(), Fence: 9}, given)
		keeper.markAccepted(state, now)
		Expect(keeper.isSettled("s", given, now)).To(BeFalse())
		Expect(keeper.isSettled("s", given, now.Add(settleTime))).To(BeTrue())
	})
})
