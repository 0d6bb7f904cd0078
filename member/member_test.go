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

const oneSecond = cherrykeel.Instant(time.Second)

func entry(name string) cherrykeel.Member {
	return cherrykeel.Member{Name: name, Role: cherrykeel.RoleEntry}
}

var _ = Describe("a roster", func() {
	It("considers an upstream as down only if most hosts report it", func() {
		roster := member.NewRoster(entry("a"))
		for i, unreachable := range [][]string{{"s up"}, {}, {}} {
			roster.RecordReport(member.PeerReport{Host: fmt.Sprint(i), Unreachable: unreachable}, oneSecond)
		}
		Expect(roster.IsDown("s", "up", oneSecond)).To(BeFalse(), "the failures of a single host have no effect")
		roster.RecordReport(member.PeerReport{Host: "1", Unreachable: []string{"s up"}}, oneSecond)
		Expect(roster.IsDown("s", "up", oneSecond)).To(BeTrue())
		Expect(roster.IsDown("s", "up", 10*oneSecond)).To(BeFalse(), "old reports do not count")
	})

	It("considers an upstream as leaving if the list marks it or no longer has it, but not if it never had it", func() {
		roster := member.NewRoster(entry("a"))
		up := cherrykeel.Member{Name: "up", Role: cherrykeel.RoleUpstream}
		Expect(roster.HasLeft("up")).To(BeFalse())
		roster.ApplyList([]cherrykeel.Member{up}, oneSecond)
		Expect(roster.HasLeft("up")).To(BeFalse())
		up.Leaving = true
		roster.ApplyList([]cherrykeel.Member{up}, 2*oneSecond)
		Expect(roster.HasLeft("up")).To(BeTrue())
		roster.ApplyList(nil, 3*oneSecond)
		Expect(roster.HasLeft("up")).To(BeTrue())
	})

	It("considers a host as gone only after a long absence from a list that was read meanwhile", func() {
		roster := member.NewRoster(entry("a"))
		roster.ApplyList([]cherrykeel.Member{entry("a"), entry("b")}, oneSecond)
		roster.ApplyList([]cherrykeel.Member{entry("a")}, 5*oneSecond)
		Expect(roster.RemovedHosts()).To(BeEmpty())
		roster.ApplyList([]cherrykeel.Member{entry("a")}, 12*oneSecond)
		Expect(roster.RemovedHosts()).To(Equal(map[string]bool{"b": true}))
	})

	It("gives every host as many neighbours as it is a neighbour of", func() {
		var names []string
		for i := range 100 {
			names = append(names, fmt.Sprint("host-", i))
		}
		receives := map[string]int{}
		for _, name := range names {
			neighbours := member.Neighbours(name, names)
			Expect(neighbours).To(HaveLen(8))
			Expect(neighbours).NotTo(ContainElement(name))
			for _, neighbour := range neighbours {
				receives[neighbour]++
			}
		}
		for _, name := range names {
			Expect(receives[name]).To(Equal(8))
		}
		Expect(member.Neighbours("a", []string{"a", "b"})).To(Equal([]string{"b"}))
	})
})

var _ = Describe("an upstream's health", func() {
	It("ejects an upstream that fails, and probes it with one request at a time", func() {
		health := member.NewHealth(0, true)
		for range 3 {
			Expect(health.IsUsable(oneSecond)).To(BeTrue())
			health.RecordFailure(oneSecond)
		}
		Expect(health.IsUsable(oneSecond)).To(BeFalse())
		later := 3 * oneSecond
		Expect(health.IsUsable(later)).To(BeTrue())
		health.RecordAttempt()
		Expect(health.IsUsable(later)).To(BeFalse(), "one probe is under way")
		health.RecordFailure(later)
		Expect(health.IsUsable(later+oneSecond)).To(BeFalse(), "the pause has doubled")
		health.RecordAttempt()
		health.RecordSuccess(10 * oneSecond)
		Expect(health.IsUsable(10 * oneSecond)).To(BeTrue())
		Expect(health.Weight(10*oneSecond)).To(BeNumerically("<", 0.1), "it warms up again")
	})

	// Guards against an upstream that gets no requests any more because the one request that should have shown whether
	// it is back was inconclusive.
	DescribeTable("is probed again after an inconclusive probe",
		func(end func(health *member.Health, now cherrykeel.Instant)) {
			health := member.NewHealth(0, true)
			for range 3 {
				health.RecordFailure(oneSecond)
			}
			now := 3 * oneSecond
			Expect(health.IsUsable(now)).To(BeTrue())
			health.RecordAttempt()
			end(health, now)
			Expect(health.IsUsable(now + 30*oneSecond)).To(BeTrue())
			health.RecordAttempt()
			Expect(health.IsUsable(now+30*oneSecond)).To(BeFalse(), "one at a time")
		},
		Entry("its caller disconnected", func(health *member.Health, _ cherrykeel.Instant) { health.RecordInconclusive() }),
		Entry("the upstream was overloaded", func(health *member.Health, now cherrykeel.Instant) { health.RecordShed(now) }),
		Entry("the upstream was draining", func(health *member.Health, now cherrykeel.Instant) { health.RecordDraining(now) }),
	)

	// Guards against sending to an upstream that asked for a rest, and against a rest without end.
	It("keeps an upstream unused for the rest that it asked for, and no longer than 30 s", func() {
		health := member.NewHealth(0, true)
		health.RecordRest(3*time.Second, oneSecond)
		health.RecordRest(time.Second, oneSecond)
		health.RecordSuccess(2 * oneSecond)
		Expect(health.IsUsable(4*oneSecond - 1)).To(BeFalse())
		Expect(health.IsUsable(4 * oneSecond)).To(BeTrue())
		health.RecordRest(time.Hour, 4*oneSecond)
		Expect(health.IsResting(34*oneSecond - 1)).To(BeTrue())
		Expect(health.IsResting(34 * oneSecond)).To(BeFalse())
	})

	It("lowers the weight of an upstream that sheds, whatever load it reports", func() {
		health := member.NewHealth(0, true)
		for range 50 {
			health.RecordShed(oneSecond)
		}
		Expect(health.Weight(oneSecond)).To(BeNumerically("<", 0.05))
		for range 50 {
			health.RecordSuccess(oneSecond)
		}
		Expect(health.Weight(oneSecond)).To(BeNumerically(">", 0.9))
	})

	// Guards against an upstream that gets no requests any more since it once refused many.
	It("forgets with time that an upstream shed", func() {
		health := member.NewHealth(0, true)
		for range 50 {
			health.RecordShed(oneSecond)
		}
		Expect(health.Weight(oneSecond)).To(BeNumerically("<", 0.05))
		Expect(health.Weight(6 * oneSecond)).To(BeNumerically("~", 0.5, 0.05))
		Expect(health.Weight(11 * oneSecond)).To(BeEquivalentTo(1))
	})
})
