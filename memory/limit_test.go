package memory_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/memory"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memory")
}

var _ = Describe("the memory for bodies", func() {
	// Guards against a host that is ended for its memory by bodies without end, each of which stays below its own bound.
	It("is never exceeded by bodies that grow for ever, however many they are", func() {
		limit := memory.NewLimit(1 << 20)
		held := make([]int64, 40)
		for range 4096 {
			for i := range held {
				if limit.Acquire(held[i], 1024) {
					held[i] += 1024
				}
			}
		}
		Expect(limit.InUse()).To(BeNumerically("<=", 1<<20+int64(len(held))*16<<10))
	})

	// Guards against a body in small pieces, each of which is granted although the body has no end.
	It("is given to one body up to a half, in whatever pieces", func() {
		limit := memory.NewLimit(1 << 20)
		held := int64(0)
		for limit.Acquire(held, 512) {
			held += 512
		}
		Expect(held).To(BeNumerically("==", 512<<10))
	})

	// Guards against usual requests that are refused while one upstream sends without end.
	It("is left for small bodies while a large one holds its part", func() {
		limit := memory.NewLimit(1 << 20)
		Expect(limit.Acquire(0, 512<<10)).To(BeTrue())
		Expect(limit.Acquire(0, 200<<10)).To(BeTrue())
		for range 100 {
			Expect(limit.Acquire(0, 4096)).To(BeTrue())
		}
	})

	It("is granted again once it is released", func() {
		limit := memory.NewLimit(1 << 20)
		Expect(limit.Acquire(0, 512<<10)).To(BeTrue())
		Expect(limit.Acquire(0, 512<<10)).To(BeFalse())
		limit.Release(512 << 10)
		Expect(limit.Acquire(0, 512<<10)).To(BeTrue())
		Expect(limit.InUse()).To(BeNumerically("==", 512<<10))
	})
})
