package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

const second = cherrykeel.Instant(time.Second)

func entry(name string) cherrykeel.Member {
	return cherrykeel.Member{Name: name, Role: cherrykeel.RoleEntry}
}

var _ = Describe("a roster", func() {
	It("takes an upstream for down only when most hosts say so", func() {
		roster := member.NewRoster(entry("a"))
		for i, unreachable := range [][]string{{"s up"}, {}, {}} {
			roster.Hear(member.Word{Host: fmt.Sprint(i), Unreachable: unreachable}, second)
		}
		Expect(roster.Down("s", "up", second)).To(BeFalse(), "one host's bad view moves nothing")
		roster.Hear(member.Word{Host: "1", Unreachable: []string{"s up"}}, second)
		Expect(roster.Down("s", "up", second)).To(BeTrue())
		Expect(roster.Down("s", "up", 10*second)).To(BeFalse(), "old words count for nothing")
	})

	It("takes an upstream for leaving by its mark, or when it vanishes, but not when the list never had it", func() {
		roster := member.NewRoster(entry("a"))
		up := cherrykeel.Member{Name: "up", Role: cherrykeel.RoleUpstream}
		Expect(roster.Left("up")).To(BeFalse())
		roster.List([]cherrykeel.Member{up}, second)
		Expect(roster.Left("up")).To(BeFalse())
		up.Leaving = true
		roster.List([]cherrykeel.Member{up}, 2*second)
		Expect(roster.Left("up")).To(BeTrue())
		roster.List(nil, 3*second)
		Expect(roster.Left("up")).To(BeTrue())
	})

	It("takes a host for gone only after long absence from a list that was read meanwhile", func() {
		roster := member.NewRoster(entry("a"))
		roster.List([]cherrykeel.Member{entry("a"), entry("b")}, second)
		roster.List([]cherrykeel.Member{entry("a")}, 5*second)
		Expect(roster.Gone()).To(BeEmpty())
		roster.List([]cherrykeel.Member{entry("a")}, 12*second)
		Expect(roster.Gone()).To(Equal(map[string]bool{"b": true}))
	})

	It("gives every host as many neighbours as it is a neighbour of", func() {
		var names []string
		for i := range 100 {
			names = append(names, fmt.Sprint("host-", i))
		}
		heard := map[string]int{}
		for _, name := range names {
			neighbours := member.Neighbours(name, names)
			Expect(neighbours).To(HaveLen(8))
			Expect(neighbours).NotTo(ContainElement(name))
			for _, neighbour := range neighbours {
				heard[neighbour]++
			}
		}
		for _, name := range names {
			Expect(heard[name]).To(Equal(8))
		}
		Expect(member.Neighbours("a", []string{"a", "b"})).To(Equal([]string{"b"}))
	})
})

var _ = Describe("an upstream's health", func() {
	It("passes over an upstream that fails, and tries it again with one request at a time", func() {
		health := member.NewHealth(0, true)
		for range 3 {
			Expect(health.Usable(second)).To(BeTrue())
			health.Failed(second)
		}
		Expect(health.Usable(second)).To(BeFalse())
		later := 3 * second
		Expect(health.Usable(later)).To(BeTrue())
		health.Chosen()
		Expect(health.Usable(later)).To(BeFalse(), "one probe is on its way")
		health.Failed(later)
		Expect(health.Usable(later+second)).To(BeFalse(), "the pause has doubled")
		health.Chosen()
		health.Succeeded(10 * second)
		Expect(health.Usable(10 * second)).To(BeTrue())
		Expect(health.Warmth(10*second)).To(BeNumerically("<", 0.1), "it warms up again")
	})

	// Guards against an upstream that is passed over for ever, since the one request that was to show whether it is back
	// showed nothing.
	DescribeTable("is tried again when a probe showed nothing",
		func(end func(health *member.Health, now cherrykeel.Instant)) {
			health := member.NewHealth(0, true)
			for range 3 {
				health.Failed(second)
			}
			now := 3 * second
			Expect(health.Usable(now)).To(BeTrue())
			health.Chosen()
			end(health, now)
			Expect(health.Usable(now + 30*second)).To(BeTrue())
			health.Chosen()
			Expect(health.Usable(now+30*second)).To(BeFalse(), "one at a time")
		},
		Entry("since its caller went away", func(health *member.Health, _ cherrykeel.Instant) { health.Left() }),
		Entry("since the upstream had no room", func(health *member.Health, _ cherrykeel.Instant) { health.Shed() }),
		Entry("since the upstream was draining", func(health *member.Health, now cherrykeel.Instant) { health.Drained(now) }),
	)

	It("lowers an upstream that sheds, whatever load it reports", func() {
		health := member.NewHealth(0, true)
		for range 50 {
			health.Shed()
		}
		Expect(health.Warmth(second)).To(BeNumerically("<", 0.05))
		for range 50 {
			health.Succeeded(second)
		}
		Expect(health.Warmth(second)).To(BeNumerically(">", 0.9))
	})
})
