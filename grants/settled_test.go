package grants

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

var _ = Describe("the time that a span has been with its owner", func() {
	// A range of keys is too hot for its owner. A part of it is transferred; the remainder is granted again under its
	// old fence, which changes nothing for the owner. If its time counted from that grant, the remainder could not be
	// transferred for another second, and so again after each further cut.
	It("counts for the remainder of a cut span from the grant of the whole", func() {
		now := cherrykeel.Instant(time.Hour)
		whole := spans.GrantedSpan{Service: "s", Owner: "u", Span: cherrykeel.KeySpan{First: 0, Last: 99}, Fence: 4}
		keeper := &Keeper{grants: map[spans.GrantedSpan]*grantState{whole: {accepted: true, acceptedAt: now.Add(-settleTime)}}}
		remainder := spans.Owned{First: 40, Last: 99, Owner: "u", Fence: 4}
		Expect(keeper.isSettled("s", remainder, now)).To(BeTrue())
		state := keeper.newGrant(spans.GrantedSpan{Service: "s", Owner: "u", Span: remainder.Span(), Fence: 4}, remainder)
		keeper.markAccepted(state, now)
		delete(keeper.grants, whole)
		Expect(keeper.isSettled("s", remainder, now)).To(BeTrue())
		Expect(keeper.isSettled("s", spans.Owned{First: 70, Last: 99, Owner: "u", Fence: 4}, now)).To(BeTrue())
	})

	It("starts again with a grant to another owner or under another fence", func() {
		now := cherrykeel.Instant(time.Hour)
		before := spans.GrantedSpan{Service: "s", Owner: "u", Span: cherrykeel.KeySpan{First: 0, Last: 99}, Fence: 4}
		keeper := &Keeper{grants: map[spans.GrantedSpan]*grantState{before: {accepted: true, acceptedAt: now.Add(-settleTime)}}}
		granted := spans.Owned{First: 40, Last: 60, Owner: "other", Fence: 9}
		state := keeper.newGrant(spans.GrantedSpan{Service: "s", Owner: "other", Span: granted.Span(), Fence: 9}, granted)
		keeper.markAccepted(state, now)
		Expect(keeper.isSettled("s", granted, now)).To(BeFalse())
		Expect(keeper.isSettled("s", granted, now.Add(settleTime))).To(BeTrue())
	})
})
