package picker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/picker"
)

func TestPicker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "picker")
}

var _ = Describe("the picker", func() {
	It("never picks an upstream without room, and always one if there is one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var choices []cherrykeel.Choice
			hasRoom := false
			for range rapid.IntRange(0, 8).Draw(t, "count") {
				choice := cherrykeel.Choice{
					InFlight:     rapid.IntRange(0, 4).Draw(t, "in flight"),
					Limit:        rapid.IntRange(0, 4).Draw(t, "limit"),
					ReportedLoad: rapid.Float64Range(-5, 5).Draw(t, "report"),
					Weight:       rapid.Float64Range(0, 1).Draw(t, "warmth"),
				}
				hasRoom = hasRoom || choice.InFlight < choice.Limit
				choices = append(choices, choice)
			}
			index := picker.NewLeastLoaded().Pick("zone", choices, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			if (index >= 0) != hasRoom {
				t.Fatalf("picked %d of %+v", index, choices)
			}
			if index >= 0 && choices[index].InFlight >= choices[index].Limit {
				t.Fatalf("picked a full upstream")
			}
		})
	})

	It("does not prefer an upstream with more of its own requests in flight because of a wrong load report", func() {
		choices := []cherrykeel.Choice{
			{Name: "honest", InFlight: 1, Limit: 4, ReportedLoad: 1, Weight: 1},
			{Name: "liar", InFlight: 3, Limit: 4, ReportedLoad: 0, Weight: 1},
		}
		for _, random := range []float64{0, 0.3, 0.6, 0.9} {
			Expect(picker.NewLeastLoaded().Pick("", choices, random)).To(Equal(0))
		}
	})

	It("prefers its own availability zone until that is busier", func() {
		choices := []cherrykeel.Choice{{Zone: "here", InFlight: 0, Limit: 4, Weight: 1}, {Zone: "there", InFlight: 0, Limit: 4, Weight: 1}}
		Expect(picker.NewLeastLoaded().Pick("here", choices, 0.9)).To(Equal(0))
		choices[0].InFlight = 3
		Expect(picker.NewLeastLoaded().Pick("here", choices, 0.9)).To(Equal(1))
	})
})
