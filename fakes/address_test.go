package fakes_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/fakes"
)

var _ = Describe("a free address", func() {
	// Guards against a host that cannot listen, since two of its addresses are the same.
	It("is returned once", func() {
		const count = 1000
		addresses := map[string]bool{}
		for range count {
			addresses[fakes.FreeAddress()] = true
		}
		Expect(addresses).To(HaveLen(count))
	})
})
