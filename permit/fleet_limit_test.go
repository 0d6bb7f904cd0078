package permit_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

const (
	// limitFactor and limitSlack are by how much more than its limit an upstream may get in a window, minUsed which share
	// of it has to be used where more is asked for.
	limitFactor = 1.1
	limitSlack  = 2
	minUsed     = 0.9
	runFor      = 30 * time.Second
	settled     = cherrykeel.Instant(2 * time.Second)
	faultAt     = cherrykeel.Instant(8 * time.Second)
)

func allowed(limit float64) int {
	return int(limitFactor*limit*windowLength.Seconds() + limitSlack)
}

var _ = Describe("a fleet of hosts, in virtual time,", func() {
	// Guards against more than the limit, or a large part of it unused, at any number of hosts.
	DescribeTable("keeps a limit and uses it", func(hosts int, demand, busyShare, limit float64) {
		fleet := newSimFleet(hosts, demand, busyShare, limit)
		fleet.run(runFor)
		used := fleet.usedShare(settled, cherrykeel.Instant(runFor))
		AddReportEntry("figures", fmt.Sprintf("%d hosts, %.4g/s, busy %.1f, limit %.4g: most %d of %d, used %.2f, %d messages a second",
			hosts, demand, busyShare, limit, fleet.mostInWindow(settled), allowed(limit), used, fleet.sentMessages/int(runFor.Seconds())))
		Expect(fleet.mostInWindow(settled)).To(BeNumerically("<=", allowed(limit)))
		Expect(used).To(BeNumerically(">=", minUsed))
	},
		Entry("1 host", 1, 100.0, 0.0, 9.5),
		Entry("8 hosts", 8, 25.0, 0.0, 9.5),
		Entry("8 hosts, much more asked for", 8, 100.0, 0.0, 9.5),
		Entry("8 hosts, one busy", 8, 25.0, 0.7, 9.5),
		Entry("8 hosts, less than one a second", 8, 25.0, 0.0, 0.7),
		Entry("24 hosts, one a second", 24, 25.0, 0.0, 1.0),
		Entry("61 hosts", 61, 25.0, 0.0, 9.5),
		Entry("61 hosts, one busy", 61, 25.0, 0.7, 9.5),
		Entry("195 hosts", 195, 25.0, 0.0, 9.5),
		Entry("195 hosts, much more asked for", 195, 100.0, 0.0, 9.5),
		Entry("195 hosts, one busy", 195, 25.0, 0.7, 9.5),
		Entry("195 hosts, a high limit", 195, 400.0, 0.0, 150.0),
	)

	// Guards against refusals while less is asked for than the upstream takes.
	DescribeTable("refuses few while less is asked for", func(hosts int, busyShare float64) {
		fleet := newSimFleet(hosts, 7, busyShare, 9.5)
		fleet.run(runFor)
		Expect(float64(fleet.refused)).To(BeNumerically("<=", 0.05*float64(fleet.asked)))
	},
		Entry("8 hosts", 8, 0.0), Entry("8 hosts, one busy", 8, 0.7), Entry("195 hosts", 195, 0.0),
	)

	// Guards against a limit of none that is never tried out again, and against one that is tried at each request.
	It("tries an upstream that takes none, now and then", func() {
		fleet := newSimFleet(24, 25, 0, 0)
		fleet.run(runFor)
		Expect(fleet.mostInWindow(settled)).To(BeNumerically("<=", limitSlack))
		Expect(len(fleet.sent)).To(BeNumerically(">=", 12))
	})

	// Guards against a limit that is handed out twice, or not at all, while hosts fail.
	DescribeTable("keeps a limit", func(hosts int, fault func(fleet *simFleet, allocator *simHost)) {
		fleet := newSimFleet(hosts, 50, 0, 9.5)
		fleet.run(time.Duration(faultAt))
		fault(fleet, fleet.byName[fleet.allocatorOf(fleet.hosts[hosts-1])])
		fleet.run(runFor - time.Duration(faultAt))
		used := fleet.usedShare(faultAt, cherrykeel.Instant(runFor))
		AddReportEntry("figures", fmt.Sprintf("%s: most %d of %d, used %.2f", CurrentSpecReport().LeafNodeText, fleet.mostInWindow(settled), allowed(9.5), used))
		Expect(fleet.mostInWindow(settled)).To(BeNumerically("<=", allowed(9.5)))
		Expect(used).To(BeNumerically(">=", 0.5))
	},
		Entry("when the allocator ends", 8, func(_ *simFleet, allocator *simHost) { allocator.endsAt = faultAt }),
		Entry("when the allocator of 195 hosts ends", 195, func(_ *simFleet, allocator *simHost) { allocator.endsAt = faultAt }),
		Entry("when the allocator stops as planned", 8, func(_ *simFleet, allocator *simHost) {
			allocator.stopsAt = faultAt
			allocator.endsAt = faultAt.Add(5 * time.Second)
		}),
		Entry("when the allocator is suspended", 8, func(_ *simFleet, allocator *simHost) {
			allocator.suspendAt, allocator.resumeAt = faultAt, faultAt.Add(4*time.Second)
		}),
		Entry("when the allocator of 61 hosts is suspended for a moment", 61, func(_ *simFleet, allocator *simHost) {
			allocator.suspendAt, allocator.resumeAt = faultAt, faultAt.Add(900*time.Millisecond)
		}),
		Entry("when one half loses the other", 24, func(fleet *simFleet, _ *simHost) {
			fleet.cutFrom, fleet.cutUntil = faultAt, faultAt.Add(8*time.Second)
			for i, host := range fleet.hosts {
				host.side = i % 2
			}
		}),
		Entry("when all hubs are lost to the others", 61, func(fleet *simFleet, _ *simHost) {
			fleet.cutFrom, fleet.cutUntil = faultAt, faultAt.Add(8*time.Second)
			for i, host := range fleet.hosts {
				host.side = min(1, i/hubChoices)
			}
		}),
		Entry("when a third of the hosts end", 24, func(fleet *simFleet, _ *simHost) {
			for i, host := range fleet.hosts {
				if i%3 == 0 {
					host.endsAt = faultAt
				}
			}
		}),
		Entry("when a quarter of the hosts are suspended and resume", 61, func(fleet *simFleet, _ *simHost) {
			for i, host := range fleet.hosts {
				if i%4 == 0 {
					host.suspendAt, host.resumeAt = faultAt, faultAt.Add(3*time.Second)
				}
			}
		}),
		Entry("when a quarter of the hosts know no permits", 24, func(fleet *simFleet, _ *simHost) {
			for i, host := range fleet.hosts {
				host.old = i%4 == 0
			}
		}),
		Entry("when a third of the hosts start", 24, func(fleet *simFleet, _ *simHost) {
			for i, host := range fleet.hosts {
				if i%3 == 0 {
					host.startsAt = faultAt.Add(time.Second)
				}
			}
		}),
	)

	// Guards against hosts that go on by an older limit.
	It("keeps a limit that has been lowered", func() {
		fleet := newSimFleet(61, 100, 0, 30)
		fleet.run(time.Duration(faultAt))
		fleet.limit = 4
		fleet.run(runFor - time.Duration(faultAt))
		Expect(fleet.mostInWindow(faultAt.Add(500 * time.Millisecond))).To(BeNumerically("<=", allowed(4)))
		Expect(fleet.usedShare(faultAt, cherrykeel.Instant(runFor))).To(BeNumerically(">=", minUsed))
	})
})
