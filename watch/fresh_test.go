package watch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/watch"
)

const (
	drainBound  = 2 * time.Second
	reportEvery = 250 * time.Millisecond
	lookEvery   = 100 * time.Millisecond
	closePace   = 400 * time.Millisecond
	readTime    = 5 * time.Millisecond
	seldomPace  = 30 * time.Second
	// noticeAfter is how long a host takes a store for well whose answers have stopped coming.
	noticeAfter = 300 * time.Millisecond
)

// reader is a host that reads one topic and reports how old its own reads are.
type reader struct {
	readAt     time.Duration
	hangs      bool
	hangsSince time.Duration
	nextLook   time.Duration
	nextReport time.Duration
	// heard has by host when its last report would have been young: the time at which its last read began.
	heard []time.Duration
	reads int
}

// pace returns how often a host of a rank reads that knows the topic as it was an age ago.
type pace func(rank int, age time.Duration) time.Duration

// byAge is the policy of the package.
func byAge(rank int, age time.Duration) time.Duration {
	if rank == 0 {
		return closePace
	}
	if watch.IsReadOverdue(drainBound, rank, age) {
		return 0
	}
	return seldomPace
}

// byRankOnly is the naive policy: two readers, whatever they achieve.
func byRankOnly(rank int, _ time.Duration) time.Duration {
	return []time.Duration{closePace, time.Second, seldomPace}[min(rank, 2)]
}

// youngest plays hosts of which the first ones lose the store at a time, and returns the greatest age that
// the knowledge of any host had that kept it, and the reads of all.
func youngest(seed uint64, hosts, lost int, noticed time.Duration, policy pace) (oldest time.Duration, reads int) {
	random := rand.New(rand.NewPCG(seed, seed))
	all := make([]*reader, hosts)
	for i := range all {
		all[i] = &reader{heard: make([]time.Duration, hosts), nextLook: time.Duration(random.Int64N(int64(lookEvery))), nextReport: time.Duration(random.Int64N(int64(reportEvery)))}
	}
	cut := 3*time.Second + time.Duration(random.Int64N(int64(time.Second)))
	for now := time.Duration(0); now < 10*time.Second; now += 5 * time.Millisecond {
		rank := 0
		for i, host := range all {
			if i < lost && now >= cut && !host.hangs {
				host.hangs = true
				host.hangsSince = now
			}
			age := now - host.readAt
			for _, heard := range host.heard {
				age = min(age, now-heard)
			}
			if !host.hangs {
				oldest = max(oldest, age)
			}
			if now >= host.nextLook {
				host.nextLook = now + lookEvery
				if !host.hangs && now-host.readAt >= policy(rank, age) {
					host.readAt = now
					host.reads++
					reads++
				}
			}
			if now >= host.nextReport {
				host.nextReport = now + reportEvery
				for _, other := range all {
					other.heard[i] = host.readAt
				}
			}
			if !host.hangs || now-host.hangsSince < noticed {
				rank++
			}
		}
	}
	return oldest, reads
}

var _ = Describe("how old the knowledge of a topic may become", func() {
	// An upstream says that it leaves; for 2 s after the store has taken that it may get work. The hosts that
	// read for all have lost the store in that moment, two or more of them at once, and do not know it yet:
	// their connections are silent. Whoever relies on them sends work to the upstream after its time.
	It("keeps the bound however many readers are lost", func() {
		for seed := range uint64(50) {
			for lost := range 9 {
				oldest, _ := youngest(seed, 11, lost, 2*time.Second, byAge)
				Expect(oldest+noticeAfter).To(BeNumerically("<", drainBound), "seed %d, %d lost", seed, lost)
			}
		}
	})

	It("did not with two fixed readers that go silent one after the other", func() {
		oldest, _ := youngest(1, 11, 2, 2*time.Second, byRankOnly)
		Expect(oldest).To(BeNumerically(">", drainBound))
	})

	// While all is well one host reads for all: 2.5 reads a second, and hardly one more by another host.
	It("costs few reads while nothing is lost", func() {
		total := 0
		for seed := range uint64(50) {
			_, reads := youngest(seed, 11, 0, 0, byAge)
			total += reads
		}
		Expect(total / 50).To(BeNumerically("<", 30))
	})

	It("lets the first ranks read first", func() {
		for rank := range 90 {
			Expect(watch.IsReadOverdue(drainBound, rank, drainBound*3/4)).To(BeTrue())
		}
		Expect(watch.IsReadOverdue(drainBound, 1, drainBound/2)).To(BeFalse())
		Expect(watch.IsReadOverdue(drainBound, 0, drainBound/2)).To(BeTrue())
	})
})
