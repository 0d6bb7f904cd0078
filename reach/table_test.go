package reach_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/reach"
)

// half is a random number that leaves varied times at their mean.
func half() float64 { return 0.5 }

const (
	first  = "10.0.0.1:80"
	second = "10.0.0.2:80"
)

var _ = Describe("how an address is reached", func() {
	var table *reach.Table
	now := cherrykeel.Instant(time.Hour)
	BeforeEach(func() { table = reach.NewTable(half) })

	It("is directly, and through another host only where that takes too long", func() {
		plan := table.Plan(first, now)
		Expect(plan.Direct).To(BeTrue())
		Expect(plan.Tunnel).To(BeTrue())
		Expect(plan.HeadStart).To(BeNumerically(">", 10*time.Millisecond))
	})

	// Guards against a lost packet that is taken for a lost link: idle connections would be closed and requests broken off.
	It("stays direct after one silent miss, and is lost after the second in a row", func() {
		Expect(table.RecordMiss(first, false, now)).To(Equal(reach.Unchanged))
		Expect(table.IsLost(first)).To(BeFalse())
		Expect(table.RecordMiss(first, false, now)).To(Equal(reach.Lost))
		Expect(table.IsLost(first)).To(BeTrue())
	})

	It("is not lost by misses with a success in between", func() {
		table.RecordMiss(first, false, now)
		table.RecordConnected(first, now)
		Expect(table.RecordMiss(first, false, now)).To(Equal(reach.Unchanged))
	})

	// Guards against half a second of hanging requests for each upstream: all links fail at one moment.
	It("is lost with its first silent miss while another address is missed", func() {
		table.RecordMiss(first, false, now)
		Expect(table.RecordMiss(second, false, now.Add(100*time.Millisecond))).To(Equal(reach.Lost))
	})

	It("is lost at once when it refuses what another host could open", func() {
		Expect(table.RecordMiss(first, true, now)).To(Equal(reach.Lost))
		Expect(table.IsLost(second)).To(BeFalse())
	})

	// Guards against a host that goes on through others for ever, and against one that tries each lost link with each
	// request.
	It("is tried directly about once a second while it is lost, and restored by a success", func() {
		table.RecordMiss(first, true, now)
		Expect(table.Plan(first, now.Add(900*time.Millisecond))).To(Equal(reach.Plan{Tunnel: true}))
		Expect(table.Plan(first, now.Add(time.Second))).To(Equal(reach.Plan{Direct: true, Tunnel: true}))
		Expect(table.Plan(first, now.Add(1100*time.Millisecond))).To(Equal(reach.Plan{Tunnel: true}))
		Expect(table.RecordConnected(first, now.Add(1200*time.Millisecond))).To(Equal(reach.Restored))
		Expect(table.Plan(first, now.Add(1300*time.Millisecond)).Direct).To(BeTrue())
		Expect(table.Lost()).To(BeEmpty())
	})

	It("is due for a direct attempt once in a while, those that waited longest first", func() {
		table.RecordMiss(second, true, now)
		table.RecordMiss(first, true, now.Add(time.Millisecond))
		Expect(table.TakeDue(1, now.Add(500*time.Millisecond))).To(BeEmpty())
		at := now.Add(1100 * time.Millisecond)
		Expect(table.TakeDue(1, at)).To(Equal([]string{second}))
		Expect(table.TakeDue(1, at)).To(Equal([]string{first}))
		Expect(table.TakeDue(1, at)).To(BeEmpty())
	})

	// Guards against requests that wait for what can't come, and against addresses that stay closed after the links are back.
	It("is closed for a growing time while nobody reaches it, up to two seconds", func() {
		var closed []time.Duration
		at := now
		for range 6 {
			table.RecordUnreached(first, reach.Replies{Unreached: 1}, reach.LinksWork, at)
			closed = append(closed, table.ClosedFor(first, at))
			Expect(table.Plan(first, at)).To(Equal(reach.Plan{}))
			at = at.Add(table.ClosedFor(first, at))
			Expect(table.Plan(first, at).Tunnel).To(BeTrue())
		}
		Expect(closed[0]).To(Equal(200 * time.Millisecond))
		Expect(closed[5]).To(Equal(2 * time.Second))
	})

	// Guards against callers who wait for 2 s though a host is known that opens connections: an address was closed by the
	// answers of hosts that had lost their own links.
	It("is closed shortly while nobody can tell about the upstream, until one is known that opens connections", func() {
		for range 6 {
			table.RecordUnreached(first, reach.Replies{Missing: 9}, reach.LinksLost, now)
			Expect(table.ClosedFor(first, now)).To(Equal(200 * time.Millisecond))
			Expect(table.IsUntold(first)).To(BeTrue())
		}
		table.RecordTunneled(second, now)
		Expect(table.Plan(first, now).Tunnel).To(BeTrue())
		table.RecordUnreached(first, reach.Replies{Missing: 9}, reach.LinksWork, now)
		Expect(table.IsUntold(first)).To(BeFalse())
	})

	It("is tried directly alone for a while after a refusal that others have confirmed", func() {
		table.RecordRefused(first, now)
		Expect(table.Plan(first, now)).To(Equal(reach.Plan{Direct: true}))
		Expect(table.Plan(first, now.Add(time.Second)).Tunnel).To(BeTrue())
	})

	// Guards against a crashed upstream that a host with lost links would ask other hosts for with each request.
	It("is closed after a confirmed refusal while it is lost", func() {
		table.RecordMiss(first, true, now)
		table.RecordRefused(first, now)
		Expect(table.Plan(first, now)).To(Equal(reach.Plan{}))
	})

	It("is forgotten when no upstream has the address any more", func() {
		table.RecordMiss(first, true, now)
		table.RecordMiss(second, true, now)
		table.Retain(func(address string) bool { return address == second }, now)
		Expect(table.Lost()).To(Equal([]string{second}))
	})

	// Guards against ordinary requests that are denied everywhere: a cut host's refused connection counted as the crash of an
	// upstream that serves all others.
	DescribeTable("shows the end of a process by a refusal", func(replies reach.Replies, own reach.Links, misses bool, expected bool) {
		if misses {
			table.RecordMiss(second, true, now)
		}
		Expect(table.IsProcessEnd(first, replies, own, now)).To(Equal(expected))
	},
		Entry("that two other hosts confirm", reach.Replies{Refused: 2}, reach.LinksUnknown, false, true),
		Entry("that other hosts confirm, though this one misses links", reach.Replies{Refused: 1, Others: 1}, reach.LinksLost, true, true),
		Entry("not when others do not reach it either", reach.Replies{Unreached: 2}, reach.LinksUnknown, false, false),
		Entry("not when as many cannot reach it", reach.Replies{Refused: 1, Unreached: 1}, reach.LinksUnknown, false, false),
		Entry("that one confirms, though others miss links", reach.Replies{Refused: 1, Missing: 5}, reach.LinksUnknown, false, true),
		Entry("that the upstream itself has announced by closing a connection", reach.Replies{Missing: 2}, reach.LinksProven, false, true),
		Entry("not when it has closed one and others do not reach it", reach.Replies{Unreached: 1}, reach.LinksProven, false, false),
		Entry("not when others miss links", reach.Replies{Missing: 1}, reach.LinksWork, false, false),
		Entry("that others confirm without a check, while this host's links work", reach.Replies{Unchecked: 2}, reach.LinksWork, false, true),
		Entry("that others confirm without a check, where there is nothing to check by", reach.Replies{Unchecked: 2}, reach.LinksUnknown, false, true),
		Entry("not by others without a check, while this host's links are lost", reach.Replies{Unchecked: 3}, reach.LinksLost, false, false),
		Entry("not by others without a check, while this host misses a part of its links", reach.Replies{Unchecked: 3}, reach.LinksPartial, false, false),
		Entry("not by others without a check, when as many miss links", reach.Replies{Unchecked: 1, Missing: 1}, reach.LinksWork, false, false),
		Entry("where no other host can be asked", reach.Replies{}, reach.LinksUnknown, false, true),
		Entry("where no other host can be asked and this one's links work", reach.Replies{Others: 2}, reach.LinksWork, true, true),
		Entry("not where none can be asked and this one's links are lost", reach.Replies{}, reach.LinksLost, false, false),
		Entry("not where none can be asked and this one misses links", reach.Replies{Others: 2}, reach.LinksUnknown, true, false),
	)
})

var _ = Describe("a suspension", func() {
	// Guards against keys with two owners: a suspended host passes a grant on seconds after its keeper has counted it as
	// lost.
	It("is noticed by whoever checks first after it, and only once", func() {
		guard := reach.Guard{}
		now := cherrykeel.Instant(time.Hour)
		before := guard.Check(now)
		Expect(guard.Check(now.Add(200 * time.Millisecond))).To(Equal(before))
		after := guard.Check(now.Add(2 * time.Second))
		Expect(after).NotTo(Equal(before))
		Expect(guard.Check(now.Add(2100 * time.Millisecond))).To(Equal(after))
	})
})
