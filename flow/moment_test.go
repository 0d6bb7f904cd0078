package flow_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

// scheduleSlowPeriods makes upstreams slow for short periods.
func scheduleSlowPeriods(load fleetLoad, random *rand.Rand, upstreams []cherrykeel.Upstream, servers map[string]*server, after func(time.Duration, func(time.Duration))) {
	if load.slowFor == 0 {
		return
	}
	meanPause := float64(load.slowFor) * (1 - load.slowShare) / load.slowShare
	for _, upstream := range upstreams {
		server := servers[upstream.ID]
		now := time.Duration(random.Float64() * meanPause)
		for now < load.length {
			after(now, func(time.Duration) { server.slow = load.slowFactor })
			after(now+load.slowFor, func(time.Duration) { server.slow = 1 })
			now += load.slowFor + time.Duration(random.ExpFloat64()*meanPause)
		}
	}
}

// sharedMachines are 54 upstreams of 3 slots that share their machines, each three times slower for a fifth of the
// time: they can process 723 requests a second.
func sharedMachines(perSecond float64) func(seed uint64) fleetLoad {
	return func(seed uint64) fleetLoad {
		speeds := make([]float64, 54)
		for i := range speeds {
			speeds[i] = 1
		}
		return fleetLoad{
			hosts: 61, slots: 3, speeds: speeds, processingTime: 160 * time.Millisecond, target: 600 * time.Millisecond, deadline: 1500 * time.Millisecond,
			perSecond: []rate{{0, perSecond / 2}, {time.Second, perSecond}, {4 * time.Second, perSecond}}, length: 5 * time.Second, seed: seed,
			reportEvery: 160 * time.Millisecond, receiveEvery: 160 * time.Millisecond, ownQueue: 15, knowsProcessingTime: true,
			slowFor: 400 * time.Millisecond, slowShare: 0.2, slowFactor: 3,
		}
	}
}

var _ = Describe("upstreams of few slots on shared machines", func() {
	// Guards against many hosts that all send to the few upstreams that seem free, by counts as old as a request's
	// processing time.
	It("are not overloaded while more is requested than they can process", func() {
		outcome := meanOutcome(sharedMachines(830))
		Expect(outcome.inTarget).To(BeNumerically(">", 0.70))
		Expect(outcome.failed).To(BeNumerically("<", 0.04))
		Expect(outcome.rejected).To(BeNumerically("<", 0.015))
	})

	// Guards against answers that are late although other upstreams have free slots.
	It("answer in time below their capacity", func() {
		outcome := meanOutcome(sharedMachines(580))
		Expect(outcome.inTarget).To(BeNumerically(">", 0.92))
		Expect(outcome.failed).To(BeNumerically("<", 0.002))
	})
})
