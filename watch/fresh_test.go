package watch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/watch"
)

const (
	drainBound       = 2 * time.Second
	reportInterval   = 250 * time.Millisecond
	checkInterval    = 100 * time.Millisecond
	readerInterval   = 400 * time.Millisecond
	readTime         = 5 * time.Millisecond
	fallbackInterval = 30 * time.Second
	// storeTimeout is how long a host considers the store available after its answers have stopped.
	storeTimeout = 300 * time.Millisecond
)

// reader is a simulated host that reads one topic and reports when its last read began.
type reader struct {
	readAt     time.Duration
	hangs      bool
	hangsSince time.Duration
	nextCheck  time.Duration
	nextReport time.Duration
	// reportedReads has the start of each host's last read, by host, as of that host's last report.
	reportedReads []time.Duration
	reads         int
}

// intervalPolicy returns the time between reads of a host with the given rank whose state of the topic has the given
// age.
type intervalPolicy func(rank int, age time.Duration) time.Duration

// byAge is the policy of the package.
func byAge(rank int, age time.Duration) time.Duration {
	if rank == 0 {
		return readerInterval
	}
	if watch.IsReadOverdue(drainBound, rank, age) {
		return 0
	}
	return fallbackInterval
}

// byRankOnly is the naive policy: two fixed readers, whether or not their reads succeed.
func byRankOnly(rank int, _ time.Duration) time.Duration {
	return []time.Duration{readerInterval, time.Second, fallbackInterval}[min(rank, 2)]
}

// simulate runs a number of hosts, of which the first ones, lost in number, cannot reach the store from a random time
// on. It returns the greatest age of the topic's state at any host that can reach the store, and the reads of all hosts.
// The other hosts count a lost one among the readers for the duration detection.
func simulate(seed uint64, hosts, lost int, detection time.Duration, policy intervalPolicy) (oldest time.Duration, reads int) {
	random := rand.New(rand.NewPCG(seed, seed))
	all := make([]*reader, hosts)
	for i := range all {
		all[i] = &reader{reportedReads: make([]time.Duration, hosts), nextCheck: time.Duration(random.Int64N(int64(checkInterval))), nextReport: time.Duration(random.Int64N(int64(reportInterval)))}
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
			for _, readAt := range host.reportedReads {
				age = min(age, now-readAt)
			}
			if !host.hangs {
				oldest = max(oldest, age)
			}
			if now >= host.nextCheck {
				host.nextCheck = now + checkInterval
				if !host.hangs && now-host.readAt >= policy(rank, age) {
					host.readAt = now
					host.reads++
					reads++
				}
			}
			if now >= host.nextReport {
				host.nextReport = now + reportInterval
				for _, other := range all {
					other.reportedReads[i] = host.readAt
				}
			}
			if !host.hangs || now-host.hangsSince < detection {
				rank++
			}
		}
	}
	return oldest, reads
}

var _ = Describe("the age of a topic's state", func() {
	// An upstream announces that it is leaving; it may get requests for 2 s after the store has recorded that. The
	// hosts that read for all, two or more, cannot reach the store from that moment on and do not notice, since their
	// connections are silent. Hosts that relied on them would send requests to the upstream after that time.
	It("stays within the bound however many readers cannot reach the store", func() {
		for seed := range uint64(50) {
			for lost := range 9 {
				oldest, _ := simulate(seed, 11, lost, 2*time.Second, byAge)
				Expect(oldest+storeTimeout).To(BeNumerically("<", drainBound), "seed %d, %d lost", seed, lost)
			}
		}
	})

	It("exceeds the bound with two fixed readers if neither can reach the store", func() {
		oldest, _ := simulate(1, 11, 2, 2*time.Second, byRankOnly)
		Expect(oldest).To(BeNumerically(">", drainBound))
	})

	// While all hosts are available, one host reads for all: 2.5 reads a second, and hardly one more by another host.
	It("needs few reads while all readers can reach the store", func() {
		total := 0
		for seed := range uint64(50) {
			_, reads := simulate(seed, 11, 0, 0, byAge)
			total += reads
		}
		Expect(total / 50).To(BeNumerically("<", 30))
	})

	It("lets hosts of lower rank read first", func() {
		for rank := range 90 {
			Expect(watch.IsReadOverdue(drainBound, rank, drainBound*3/4)).To(BeTrue())
		}
		Expect(watch.IsReadOverdue(drainBound, 1, drainBound/2)).To(BeFalse())
		Expect(watch.IsReadOverdue(drainBound, 0, drainBound/2)).To(BeTrue())
	})
})
