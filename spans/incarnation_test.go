package spans_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

var _ = Describe("an owner that restarted under its ID", func() {
	// Guards against keys that stay without an owner after a crash: the restarted upstream has lost its keys. Other
	// upstreams must wait until the lease of the old process has ended; the new process may have them at once, under
	// a fence that the old one never had.
	It("gets its keys again under a higher fence, while they are not free for others", func() {
		all := candidates(1, 1)
		all[0].StartedAt = 200
		all[1].StartedAt = 50
		table := spans.Table{Services: map[string][]spans.Owned{service: {
			{First: 0, Last: 29999, Owner: "u0", Address: "10.0.0.0:80", StartedAt: 100, Fence: 3, InTransfer: true},
			{First: 30000, Last: cherrykeel.MaxKey, Owner: "u1", Address: "10.0.0.1:80", StartedAt: 50, Fence: 4},
		}}}
		next, changed := table.NextSpans(service, spans.Input{
			Offset: 9, Candidates: all, Demand: spans.NewDemand(0),
			IsUnavailable: func(string) bool { return false }, IsFree: func(cherrykeel.KeySpan) bool { return false }, IsSettled: func(spans.Owned) bool { return false },
		})
		Expect(changed).To(BeTrue())
		Expect(next).To(Equal([]spans.Owned{
			{First: 0, Last: 29999, Owner: "u0", Address: "10.0.0.0:80", StartedAt: 200, Fence: 9},
			{First: 30000, Last: cherrykeel.MaxKey, Owner: "u1", Address: "10.0.0.1:80", StartedAt: 50, Fence: 4},
		}))
	})

	It("keeps its incarnation in the encoded table", func() {
		table := spans.Table{Term: 1, Services: map[string][]spans.Owned{service: {{First: 0, Last: cherrykeel.MaxKey, Owner: "u0", StartedAt: 7, Fence: 3}}}}
		value, err := table.Encode()
		Expect(err).NotTo(HaveOccurred())
		read, err := spans.Decode(value, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Services).To(Equal(table.Services))
	})
})
