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
	It("admits no more than its limit, refuses what would be late, and wakes each ticket once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.IntRange(1, 4).Draw(t, "limit")
			queue := admit.NewQueue(limit, rapid.IntRange(0, 6).Draw(t, "length"))
			now := second
			woken := map[int]int{}
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
						woken[number]++
						if admitted {
							inFlight++
						}
					},
				}
				if queue.Submit(ticket, now) == admit.Admitted {
					inFlight++
				}
				if inFlight != queue.InFlight() || inFlight > limit {
					t.Fatalf("%d in flight, the queue says %d, the limit is %d", inFlight, queue.InFlight(), limit)
				}
			}
			for number, count := range woken {
				if count != 1 {
					t.Fatalf("ticket %d was woken %d times", number, count)
				}
			}
		})
	})

	It("lets urgent requests pass the others, which still get every tenth place", func() {
		queue := admit.NewQueue(1, 200)
		var order []string
		offer := func(name string, priority int, at cherrykeel.Instant) {
			queue.Submit(&admit.Ticket{Priority: priority, Arrived: at, Deadline: at + 1000*second, Notify: func(bool) { order = append(order, name) }}, at)
		}
		offer("running", 1, second)
		for i := range 5 {
			offer("search", 8, second+cherrykeel.Instant(i))
		}
		for i := range 40 {
			offer("lookup", 1, 2*second+cherrykeel.Instant(i))
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

	It("that is full gives an urgent request the place of the last in order", func() {
		queue := admit.NewQueue(1, 1)
		refused := false
		queue.Submit(&admit.Ticket{Priority: 1, Deadline: 100 * second}, second)
		queue.Submit(&admit.Ticket{Priority: 8, Deadline: 100 * second, Notify: func(admitted bool) { refused = !admitted }}, second)
		Expect(queue.Submit(&admit.Ticket{Priority: 1, Deadline: 100 * second}, second)).To(Equal(admit.Queued))
		Expect(refused).To(BeTrue())
		Expect(queue.Submit(&admit.Ticket{Priority: 9, Deadline: 100 * second}, second)).To(Equal(admit.QueueFull))
	})
})

var _ = Describe("a host without slots whose answers came late", func() {
	const (
		late     = 6 * time.Second
		deadline = second
		pace     = second / 10
	)

	// Guards against a host that stood still, takes that time for the upstream's own, and refuses every request: it then asks
	// the steward for no slot, and gets none as long as the other hosts have use for all.
	It("asks for one again", func() {
		queue := admit.NewQueue(1, 4)
		queue.Submit(&admit.Ticket{Deadline: deadline}, 0)
		queue.Resize(0, 4, 0)
		now := cherrykeel.Instant(late)
		queue.Done(late, now)
		steward := admit.NewSlotAllocator("up", 3, 0)
		admitted := 0
		for round := range 300 {
			now += pace
			steward.Allocate("busy", admit.SlotRequest{InFlight: 2 + round%2, Waiting: 9}, now)
			slots, _ := steward.Allocate("late", admit.SlotRequest{InFlight: queue.InFlight(), Waiting: queue.Waiting()}, now)
			queue.Resize(slots, 4, now)
			ticket := &admit.Ticket{Arrived: now, Deadline: now + deadline, Notify: func(woken bool) {
				if woken {
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

var _ = Describe("a steward of slots", func() {
	It("never gives out more than there are, while hosts come, go and change their minds", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			slots := rapid.IntRange(1, 8).Draw(t, "slots")
			steward := admit.NewSlotAllocator("up", slots, 0)
			now := second
			type part struct {
				count int
				until cherrykeel.Instant
			}
			parts := map[string]part{}
			for range 80 {
				now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
				host := fmt.Sprintf("host-%d", rapid.IntRange(0, 9).Draw(t, "host"))
				held := 0
				if parts[host].until > now {
					held = rapid.IntRange(0, parts[host].count).Draw(t, "in flight")
				}
				want := admit.SlotRequest{InFlight: held, Waiting: rapid.IntRange(0, 5).Draw(t, "waiting")}
				count, length := steward.Allocate(host, want, now)
				parts[host] = part{count: count, until: now.Add(length)}
				sum := 0
				for _, part := range parts {
					if part.until > now {
						sum += part.count
					}
				}
				if sum > slots {
					t.Fatalf("%d of %d slots are out: %v", sum, slots, parts)
				}
			}
		})
	})

	It("lends idle hosts' parts to busy ones, and gives everybody a turn when hosts outnumber slots", func() {
		steward := admit.NewSlotAllocator("up", 3, 0)
		now := second
		for range 3 {
			steward.Allocate("idle", admit.SlotRequest{}, now)
			count, _ := steward.Allocate("busy", admit.SlotRequest{InFlight: 0, Waiting: 9}, now)
			Expect(count).To(BeNumerically(">=", 2))
			now = now.Add(50 * time.Millisecond)
		}
		served := map[string]bool{}
		for range 200 {
			for host := range 8 {
				name := fmt.Sprintf("host-%d", host)
				count, _ := steward.Allocate(name, admit.SlotRequest{Waiting: 3}, now)
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
