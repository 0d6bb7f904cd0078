package cold_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/cold"
)

func TestCold(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cold")
}

// bound is how many requests an upstream with a rate of 4.3 requests a second tolerates in one second.
const bound = 4.3*1.5 + 8

func names(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	return names
}

// without returns the names except for some random ones.
func without(names []string, count int, random *rand.Rand) []string {
	rest := append([]string(nil), names...)
	random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return rest[count:]
}

var _ = Describe("the quotas of a cold upstream's bound", func() {
	DescribeTable("add up to half of the bound for one list of hosts", func(hosts, expected int) {
		list := names(hosts)
		total := 0
		for _, host := range list {
			total += cold.Quota(host, list, "u", bound)
		}
		Expect(total).To(Equal(expected))
	},
		Entry("one host", 1, 7),
		Entry("three hosts", 3, 7),
		Entry("eight hosts", 8, 7),
		Entry("61 hosts", 61, 7),
		Entry("195 hosts", 195, 7),
	)

	It("are zero for a host without a list, or with one that does not contain it", func() {
		Expect(cold.Quota("host-1", nil, "u", bound)).To(BeZero())
		Expect(cold.Quota("other", names(2), "u", bound)).To(BeZero())
		Expect(cold.Quota("host-1", names(2), "u", 1)).To(BeZero())
	})

	// Guards against hosts that are disconnected and keep an older list while the others drop them from theirs.
	It("stay within the bound when some hosts have another list than the others", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for round := range 300 {
			all := names(2 + random.IntN(80))
			fewer := without(all, random.IntN(len(all)), random)
			total := 0
			for _, host := range all {
				total += max(cold.Quota(host, all, fmt.Sprint(round), bound), cold.Quota(host, fewer, fmt.Sprint(round), bound))
			}
			Expect(total).To(BeNumerically("<=", bound))
		}
	})

	It("go to other hosts for another upstream", func() {
		list := names(61)
		withQuota := map[string]bool{}
		for upstream := range 40 {
			for _, host := range list {
				if cold.Quota(host, list, fmt.Sprint(upstream), bound) > 0 {
					withQuota[host] = true
				}
			}
		}
		Expect(len(withQuota)).To(BeNumerically(">", 50))
	})
})

var _ = Describe("the window of requests", func() {
	// Guards against counts that are reset each second: twice the limit could be sent within a second around the reset.
	It("slides", func() {
		random := rand.New(rand.NewPCG(3, 4))
		var window cold.Window
		var sent []time.Duration
		for now := time.Duration(0); now < 20*time.Second; now += time.Duration(random.Int64N(int64(100 * time.Millisecond))) {
			if window.Allows(3, cherrykeel.Instant(now)) {
				window.Record(cherrykeel.Instant(now))
				sent = append(sent, now)
			}
		}
		Expect(len(sent)).To(BeNumerically(">", 30))
		for i := 3; i < len(sent); i++ {
			Expect(sent[i] - sent[i-3]).To(BeNumerically(">", time.Second))
		}
	})
})
