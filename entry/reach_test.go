package entry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

var _ = Describe("the upstream with an address", func() {
	// Guards against an entry of another writer that stands for the upstream whose address it has: links of another
	// service would tell whether that upstream has ended.
	It("stays the one that was listed first, until that one is gone", func() {
		var list upstreamList
		own := cherrykeel.Upstream{ID: "m", Service: "halls", Address: "10.0.0.1:1"}
		list.store([]cherrykeel.Upstream{own})
		for _, id := range []string{"a", "z"} {
			other := cherrykeel.Upstream{ID: id, Service: "audit", Address: own.Address}
			list.store([]cherrykeel.Upstream{own, other})
			list.store([]cherrykeel.Upstream{other, own})
			Expect(found(list.findAddress(own.Address))).To(Equal(own))
		}
		next := cherrykeel.Upstream{ID: "z", Address: own.Address}
		list.store([]cherrykeel.Upstream{next})
		Expect(found(list.findAddress(own.Address))).To(Equal(next))
	})
})

func found(upstream cherrykeel.Upstream, listed bool) cherrykeel.Upstream {
	Expect(listed).To(BeTrue())
	return upstream
}
