package relay

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

const (
	fleetStep   = 10 * time.Millisecond
	fleetWindow = 10 * time.Second
	// fleetLength and fleetLead are how long a fleet runs, and how long before its first request its hosts have started.
	fleetLength = 40 * time.Second
	fleetLead   = 8 * time.Second
)

// fleetHost is one host of a fleet in virtual time; a restart replaces its budget.
type fleetHost struct {
	budget *budget
	down   bool
	// listed is how many hosts this one knows.
	listed int
}

// fleet has hosts that share one service's retry budget; requests and retries are counted by step of virtual time.
type fleet struct {
	bounds   cherrykeel.Bounds
	hosts    []*fleetHost
	now      cherrykeel.Instant
	requests []int
	retries  []int
	wanted   int
	granted  int
	random   *rand.Rand
}

func newFleet(hosts int, seed uint64) *fleet {
	fleet := &fleet{
		bounds: cherrykeel.Bounds{RetryRatio: 0.2, RetrySlack: 62, RetryWindow: fleetWindow},
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	for range hosts {
		host := &fleetHost{listed: hosts}
		fleet.hosts = append(fleet.hosts, host)
		fleet.restart(host)
	}
	return fleet
}

func (fleet *fleet) restart(host *fleetHost) {
	host.budget = newBudget(func() cherrykeel.Bounds { return fleet.bounds })
	host.down = false
}

// serve passes requests to random hosts that are up; each that fails is sent again up to the given number of times.
func (fleet *fleet) serve(count int, failing float64, resends int) {
	for range count {
		host := fleet.hosts[fleet.random.IntN(len(fleet.hosts))]
		if host.down {
			fleet.requests[len(fleet.requests)-1]++
			continue
		}
		fleet.serveAt(host, failing, resends)
	}
}

func (fleet *fleet) serveAt(host *fleetHost, failing float64, resends int) {
	last := len(fleet.requests) - 1
	fleet.requests[last]++
	host.budget.recordRequest(fleet.now)
	for range resends {
		if fleet.random.Float64() >= failing {
			return
		}
		fleet.wanted++
		if !host.budget.trySpend(host.listed, fleet.now) {
			return
		}
		fleet.granted++
		fleet.retries[last]++
	}
}

// run calls step for each step of virtual time, counted from the first request.
func (fleet *fleet) run(step func(at time.Duration)) {
	fleet.now = cherrykeel.Instant(fleetLead)
	for at := time.Duration(0); at < fleetLength; at += fleetStep {
		fleet.requests = append(fleet.requests, 0)
		fleet.retries = append(fleet.retries, 0)
		step(at)
		fleet.now = fleet.now.Add(fleetStep)
	}
}

// mostExcess returns by how many retries the fleet has exceeded, in the worst window, what the platform allows: the ratio
// of the requests of that window, the one before it or the one half a window before it, whichever has most, and the slack.
func (fleet *fleet) mostExcess() float64 {
	steps := int(fleetWindow / fleetStep)
	worst := -fleet.bounds.RetrySlack
	for end := range fleet.retries {
		retries := sumWindow(fleet.retries, end, steps)
		requests := max(sumWindow(fleet.requests, end, steps), sumWindow(fleet.requests, end-steps/2, steps), sumWindow(fleet.requests, end-steps, steps))
		worst = max(worst, float64(retries)-fleet.bounds.RetryRatio*float64(requests)-fleet.bounds.RetrySlack)
	}
	return worst
}

// sumWindow sums up the steps of the window that ends with a step.
func sumWindow(counts []int, end, steps int) int {
	sum := 0
	for i := max(0, end-steps+1); i <= end; i++ {
		sum += counts[i]
	}
	return sum
}

// requestsPerStep makes 500 requests a second, a busy service's.
const requestsPerStep = 5

var _ = Describe("the retry budget of a fleet", func() {
	// Guards against hosts that bring their slack again with each start: upstreams get more retries than the platform allows.
	It("is kept when hosts start again several times within a window", func() {
		fleet := newFleet(11, 1)
		fleet.run(func(at time.Duration) {
			if at%(2*time.Second) == 0 {
				for _, host := range fleet.hosts {
					fleet.restart(host)
				}
			}
			fleet.serve(1, 1, 3)
		})
		Expect(fleet.mostExcess()).To(BeNumerically("<=", 0))
	})

	// Guards against hosts that forget, with a restart, what they have spent, after they had used up what a calm time had left.
	It("is kept when hosts start again just after a burst of failures", func() {
		fleet := newFleet(11, 2)
		fleet.run(func(at time.Duration) {
			if at == 24*time.Second {
				for _, host := range fleet.hosts {
					fleet.restart(host)
				}
			}
			failing := 0.0
			if at >= 20*time.Second {
				failing = 1
			}
			fleet.serve(requestsPerStep, failing, 1)
		})
		Expect(fleet.mostExcess()).To(BeNumerically("<=", 0))
	})

	// Guards against hosts that each take the whole slack because their list of hosts holds only themselves.
	It("is kept while each host knows only itself", func() {
		fleet := newFleet(11, 3)
		for _, host := range fleet.hosts {
			host.listed = 1
		}
		fleet.run(func(time.Duration) { fleet.serve(1, 1, 3) })
		Expect(fleet.mostExcess()).To(BeNumerically("<=", 0))
	})

	// Guards against a divisor that falls at once when records of hosts are lost, though the hosts go on retrying.
	It("is kept when half of the hosts vanish from the lists of a large fleet", func() {
		fleet := newFleet(72, 4)
		fleet.run(func(at time.Duration) {
			if at == 20*time.Second {
				for _, host := range fleet.hosts {
					host.listed = 36
				}
			}
			fleet.serve(requestsPerStep, 1, 2)
		})
		Expect(fleet.mostExcess()).To(BeNumerically("<=", 0))
	})

	// Guards against a count of retries that is lost, or kept for ever, when the platform's window changes.
	It("is kept when the window is set anew", func() {
		fleet := newFleet(11, 5)
		fleet.run(func(at time.Duration) {
			if at%time.Second == 0 {
				fleet.bounds.RetryWindow = fleetWindow + time.Duration(at/time.Second%3)*time.Second
			}
			fleet.serve(1, 1, 3)
		})
		Expect(fleet.mostExcess()).To(BeNumerically("<=", 0))
	})

	// Guards against mixes of restarts, short days, wrong lists, new hosts and changing traffic that exceed the budget together.
	It("is kept in random mixes of disruptions", func() {
		for seed := range uint64(120) {
			fleet := newFleet(4+int(seed%9), seed)
			fleet.run(newMix(fleet).step)
			Expect(fleet.mostExcess()).To(BeNumerically("<=", 0), "seed %d", seed)
		}
	})

	// Guards against a budget that is kept only since callers are left without retries.
	It("allows a calm fleet all retries of one request in ten", func() {
		fleet := newFleet(11, 6)
		fleet.run(func(time.Duration) { fleet.serve(requestsPerStep, 0.1, 1) })
		Expect(fleet.granted).To(BeNumerically(">", 98*fleet.wanted/100))
	})

	// Guards against a budget without a reserve: what a crashed upstream has cut off is not sent again.
	It("allows a calm fleet the retries of a second in which a sixth of the requests fail", func() {
		fleet := newFleet(11, 7)
		fleet.run(func(at time.Duration) {
			failing := 0.0
			if at >= 20*time.Second && at < 21*time.Second {
				failing = 1.0 / 6
			}
			fleet.serve(requestsPerStep, failing, 1)
		})
		Expect(fleet.granted).To(Equal(fleet.wanted))
	})

	// Guards against hosts that may not retry at all in the first seconds after their start.
	It("allows retries soon after all hosts have started again", func() {
		fleet := newFleet(11, 8)
		after := 0
		fleet.run(func(at time.Duration) {
			if at == 20*time.Second {
				for _, host := range fleet.hosts {
					fleet.restart(host)
				}
			}
			before := fleet.granted
			fleet.serve(requestsPerStep, 0.08, 1)
			if at > 21*time.Second && at < 25*time.Second {
				after += fleet.granted - before
			}
		})
		Expect(after).To(BeNumerically(">", 110))
	})
})

// mix draws disruptions of a fleet: failures that come and go, traffic that changes, restarts, and lists that differ.
type mix struct {
	fleet   *fleet
	failing float64
	rate    int
	resends int
}

func newMix(fleet *fleet) *mix {
	return &mix{fleet: fleet, rate: 1 + fleet.random.IntN(6), resends: 1 + fleet.random.IntN(3)}
}

func (mix *mix) step(at time.Duration) {
	fleet := mix.fleet
	if at%(500*time.Millisecond) == 0 {
		mix.draw()
	}
	if fleet.random.IntN(4) > 0 {
		fleet.serve(mix.rate, mix.failing, mix.resends)
	}
}

func (mix *mix) draw() {
	fleet := mix.fleet
	switch fleet.random.IntN(6) {
	case 0:
		mix.failing = 1
	case 1:
		mix.failing = 0
	case 2:
		mix.rate = 1 + fleet.random.IntN(6)
	}
	for _, host := range fleet.hosts {
		switch fleet.random.IntN(12) {
		case 0:
			host.down = true
		case 1:
			fleet.restart(host)
		case 2:
			host.listed = 1 + fleet.random.IntN(len(fleet.hosts))
		}
	}
}
