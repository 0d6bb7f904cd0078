package cherrykeel_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

// Guards against a record of an era that counts as older than one of the era before, whose offset is higher.
var _ = Describe("a position", func() {
	It("orders records over eras, and gives era and offset back", func() {
		Expect(cherrykeel.Position(2, 0)).To(BeNumerically(">", cherrykeel.Position(1, 1<<41)))
		for _, era := range []int64{0, 1, 2047} {
			for _, offset := range []int64{0, 7, 1<<42 - 1} {
				position := cherrykeel.Position(era, offset)
				Expect(cherrykeel.EraOf(position)).To(Equal(era))
				Expect(cherrykeel.OffsetOf(position)).To(Equal(offset))
				Expect(position).To(BeNumerically("<", int64(1)<<53), "exact as a JSON number")
			}
		}
		Expect(cherrykeel.EraOf(-1)).To(BeZero())
		Expect(cherrykeel.OffsetOf(-1)).To(Equal(int64(-1)))
	})
})
