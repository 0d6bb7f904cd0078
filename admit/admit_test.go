package admit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/admit"
)

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admit")
}

const second = cherrykeel.Instant(time.Second)

var _ = Describe("a queue", func() {
	It("admits no more than its limit, refuses what cannot meet its deadline, and notifies each ticket once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.IntRange(1, 4).Draw(t, "limit")
			queue := admit.NewQueue(limit, rapid.IntRange(0, 6).Draw(t, "length"))
			now := second
			notified := map[int]int{}
			inFlight := 0
			for number := range 60 {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
				if inFlight > 0 && rapid.Bool().Draw(t, "done") {
					inFlight--
					queue.Done(10*time.Millisecond, now)
				}
				ticket := &admit.Ticket{
					Priority: rapid.IntRange(1, 9).Draw(t, "priority"),
					Arrived:  now,
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "left")) * time.Millisecond),
					Notify: func(admitted bool) {
						notified[number]++
						if admitted {
							inFlight++
						}
					},
				}
				if queue.Submit(ticket, now) == admit.Admitted {
					inFlight++
				}
				if inFlight != queue.InFlight() || inFlight > limit {
					t.Fatalf("%d in flight, the queue counts %d, the limit is %d", inFlight, queue.InFlight(), limit)
				}
			}
			for number, count := range notified {
				if count != 1 {
					t.Fatalf("ticket %d was notified %d times", number, count)
				}
			}
		})
	})

	It("admits urgent requests before others, which still get every tenth slot", func() {
		queue := admit.NewQueue(1, 200)
		var order []string
		submit := func(name string, priority int, at cherrykeel.Instant) {
			queue.Submit(&admit.Ticket{Priority: priority, Arrived: at, Deadline: at + 1000*second, Notify: func(bool) { order = append(order, name) }}, at)
		}
		submit("running", 1, second)
		for i := range 5 {
			submit("search", 8, second+cherrykeel.Instant(i))
		}
		for i := range 40 {
			submit("lookup", 1, 2*second+cherrykeel.Instant(i))
		}
		for range 30 {
			queue.Done(time.Millisecond, 3*second)
		}
		counts := map[string]int{}
		for _, name := range order {
			counts[name]++
		}
		Expect(counts).To(Equal(map[string]int{"lookup": 27, "search": 3}))
	})

	// Guards against sending to an upstream that asked for a rest, and against holding what can't wait for its end.
	It("that is paused admits nothing until the pause ends, and refuses at once what cannot wait for that", func() {
		queue := admit.NewQueue(1, 4)
		results := map[string]bool{}
		submit := func(name string, deadline, now cherrykeel.Instant) admit.Decision {
			return queue.Submit(&admit.Ticket{Deadline: deadline, Notify: func(admitted bool) { results[name] = admitted }}, now)
		}
		Expect(submit("running", 9*second, second)).To(Equal(admit.Admitted))
		Expect(submit("short", 3*second, second)).To(Equal(admit.Queued))
		Expect(submit("long", 9*second, second)).To(Equal(admit.Queued))
		queue.Pause(4 * second)
		Expect(results).To(Equal(map[string]bool{"short": false}))
		queue.Done(time.Millisecond, 2*second)
		Expect(submit("late", 4*second, 2*second)).To(Equal(admit.TooLate))
		queue.Resize(1, 4, 4*second-1)
		Expect(results).To(HaveLen(1))
		queue.Resize(1, 4, 4*second)
		Expect(results).To(Equal(map[string]bool{"short": false, "long": true}))
	})

	It("that is full refuses the last request in order in favor of an urgent one", func() {
		queue := admit.NewQueue(1, 1)
		refused := false
		queue.Submit(&admit.Ticket{Priority: 1, Deadline: 100 * second}, second)
		queue.Submit(&admit.Ticket{Priority: 8, Deadline: 100 * second, Notify: func(admitted bool) { refused = !admitted }}, second)
		Expect(queue.Submit(&admit.Ticket{Priority: 1, Deadline: 100 * second}, second)).To(Equal(admit.Queued))
		Expect(refused).To(BeTrue())
		Expect(queue.Submit(&admit.Ticket{Priority: 9, Deadline: 100 * second}, second)).To(Equal(admit.QueueFull))
	})
})

var _ = Describe("a host without slots whose answers were late", func() {
	const (
		late     = 6 * time.Second
		deadline = second
		pace     = second / 10
	)

	// Guards against a host that was suspended, takes that time for the upstream's processing time, and refuses every
	// request: it then requests no slot, and gets none while other hosts use them all.
	It("requests one again", func() {
		queue := admit.NewQueue(1, 4)
		queue.Submit(&admit.Ticket{Deadline: deadline}, 0)
		queue.Resize(0, 4, 0)
		now := cherrykeel.Instant(late)
		queue.Done(late, now)
		allocator := admit.NewSlotAllocator("up", 3, 0)
		admitted := 0
		for round := range 300 {
			now += pace
			allocator.Allocate("busy", admit.SlotRequest{InFlight: 2 + round%2, Waiting: 9}, now)
			slots, _ := allocator.Allocate("late", admit.SlotRequest{InFlight: queue.InFlight(), Waiting: queue.Waiting()}, now)
			queue.Resize(slots, 4, now)
			ticket := &admit.Ticket{Arrived: now, Deadline: now + deadline, Notify: func(isAdmitted bool) {
				if isAdmitted {
					admitted++
				}
			}}
			if queue.Submit(ticket, now) == admit.Admitted {
				admitted++
			}
			for queue.InFlight() > 0 {
				queue.Done(10*time.Millisecond, now)
			}
		}
		Expect(admitted).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a slot allocator", func() {
	It("never allocates more slots than there are, while hosts come, go and change their requests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			slots := rapid.IntRange(1, 8).Draw(t, "slots")
			allocator := admit.NewSlotAllocator("up", slots, 0)
			now := second
			type allocation struct {
				count int
				until cherrykeel.Instant
			}
			allocations := map[string]allocation{}
			for range 80 {
				now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
				host := fmt.Sprintf("host-%d", rapid.IntRange(0, 9).Draw(t, "host"))
				held := 0
				if allocations[host].until > now {
					held = rapid.IntRange(0, allocations[host].count).Draw(t, "in flight")
				}
				request := admit.SlotRequest{InFlight: held, Waiting: rapid.IntRange(0, 5).Draw(t, "waiting")}
				count, length := allocator.Allocate(host, request, now)
				allocations[host] = allocation{count: count, until: now.Add(length)}
				sum := 0
				for _, allocation := range allocations {
					if allocation.until > now {
						sum += allocation.count
					}
				}
				if sum > slots {
					t.Fatalf("%d of %d slots are allocated: %v", sum, slots, allocations)
				}
			}
		})
	})

	It("allocates idle hosts' slots to busy ones, and rotates slots when there are more hosts than slots", func() {
		allocator := admit.NewSlotAllocator("up", 3, 0)
		now := second
		for range 3 {
			allocator.Allocate("idle", admit.SlotRequest{}, now)
			count, _ := allocator.Allocate("busy", admit.SlotRequest{InFlight: 0, Waiting: 9}, now)
			Expect(count).To(BeNumerically(">=", 2))
			now = now.Add(50 * time.Millisecond)
		}
		served := map[string]bool{}
		for range 200 {
			for host := range 8 {
				name := fmt.Sprintf("host-%d", host)
				count, _ := allocator.Allocate(name, admit.SlotRequest{Waiting: 3}, now)
				served[name] = served[name] || count > 0
			}
			now = now.Add(10 * time.Millisecond)
		}
		Expect(served).To(HaveLen(8))
		for name, got := range served {
			Expect(got).To(BeTrue(), name)
		}
	})
})
