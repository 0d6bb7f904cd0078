package trial_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cherrykeel/route"
	"cherrykeel/trial"
)

const partitions = 16

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trial")
}

// options returns the options of the worlds in which adversaries act. Clocks drift by up to 1%, half of what keepers
// allow for.
func options(seed int64) trial.Options {
	return trial.Options{
		Seed: seed, Hosts: 5, Upstreams: 4, Zones: 3, Partitions: partitions,
		Latency: time.Millisecond, MaxClockDrift: 0.01, LeaseLength: 900 * time.Millisecond,
	}
}

// recordViolation records the first time at which a partition or hot key has two owners; "" means none so far.
func recordViolation(world *trial.World) *string {
	found := ""
	keys := map[string]int{}
	for key := range trial.HotKeyCount {
		name := trial.HotKeyName(key)
		keys[name] = partitionOf(name)
	}
	world.Check = func(world *trial.World) {
		if found != "" {
			return
		}
		for partition := range partitions {
			if owners := world.Owners(partition, trial.OtherKey); len(owners) > 1 {
				found = fmt.Sprintf("at %v partition %d has owners %s and %s", world.Now(), partition, owners[0].Name, owners[1].Name)
			}
		}
		for key, partition := range keys {
			if owners := world.Owners(partition, key); len(owners) > 1 {
				found = fmt.Sprintf("at %v %s has owners %s and %s", world.Now(), key, owners[0].Name, owners[1].Name)
			}
		}
	}
	return &found
}

// run runs an adversarial world without requests and returns its steps and its violation, if any.
func run(seed int64, disabled trial.Safeguard, duration time.Duration) (steps int, found string) {
	world, _, violation := newRun(seed, disabled)
	world.RunUntil(duration)
	return world.Steps, *violation
}

// runWithoutFences runs an adversarial world with requests, whose upstreams check no fences.
func runWithoutFences(seed int64, duration time.Duration) (steps int, found string) {
	settings := options(seed)
	settings.NoFences = true
	world := trial.New(settings)
	violation := recordViolation(world)
	adversary := trial.NewAdversary(world)
	adversary.Start(time.Second)
	adversary.AddTraffic(partitionOf)
	world.RunUntil(duration)
	return world.Steps, *violation
}

// runWithTraffic runs an adversarial world with requests.
func runWithTraffic(seed int64, duration time.Duration) (steps int, found string) {
	world, adversary, violation := newRun(seed, trial.DisableNothing)
	adversary.AddTraffic(partitionOf)
	world.RunUntil(duration)
	return world.Steps, *violation
}

func partitionOf(key string) int { return route.Partition(key, partitions) }

// newRun returns an adversarial world with the kind of faults that the seed selects.
func newRun(seed int64, disabled trial.Safeguard) (*trial.World, *trial.Adversary, *string) {
	settings := options(seed)
	settings.Disabled = disabled
	world := trial.New(settings)
	violation := recordViolation(world)
	adversary := trial.NewAdversary(world)
	switch seed % 4 {
	case 0:
		// Drains in quick succession over a slow network, so that grants overtake one another.
		adversary.OnlyDrain()
	case 1:
		// Keepers that alone reach an upstream, and are cut off from the other hosts and the log.
		adversary.OnlyIsolateKeepers()
	}
	adversary.Start(time.Second)
	return world, adversary, violation
}

// Guards against two owners of a key: a keeper that was suspended, cut off or replaced renews the lease of an upstream
// whose keys its successor has granted to another one; a grant arrives 30 s late; a suspended upstream resumes as owner;
// witnesses lose their state. Each world mixes suspensions longer than every lease, links cut one way or both,
// log outages, lost and late messages, replaced hosts, restarted upstreams, drains and hot keys, and checks after each
// step that nothing has two owners.
var _ = Describe("sole ownership", func() {
	It("holds under all faults, in any order", func() {
		steps := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Int64Range(1, 1<<40).Draw(t, "seed")
			count, found := runWithTraffic(seed, 40*time.Second)
			steps += count
			if found != "" {
				t.Fatalf("seed %d: %s", seed, found)
			}
		})
		GinkgoWriter.Println(steps, "steps without a second owner")
		Expect(steps).To(BeNumerically(">", 1_000_000))
	})

	It("holds where upstreams check no fences, since hosts send only while their views are fresh", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Int64Range(1, 1<<40).Draw(t, "seed")
			_, found := runWithoutFences(seed, 20*time.Second)
			if found != "" {
				t.Fatalf("seed %d: %s", seed, found)
			}
		})
	})

	// Guards against two failures. First, the answers to a keeper's renewals were lost, so that it took the upstream for
	// lost; the keeper of a new term extended that upstream's lease, and the old keeper, not yet aware of the new term,
	// granted its keys to another one. Second, an upstream became reachable again while it processed a request from an
	// ended lease, and reported that. It was taken for the owner of the key, which another upstream had been granted.
	It("holds in runs that once violated it", func() {
		_, found := runWithTraffic(512, 40*time.Second)
		Expect(found).To(BeEmpty())
		for _, seed := range []int64{22304} {
			_, found := run(seed, trial.DisableNothing, 40*time.Second)
			Expect(found).To(BeEmpty())
		}
	})

	It("returns for every key after the faults have ended", func() {
		for seed := int64(1); seed <= 20; seed++ {
			world, adversary, violation := newRun(seed, trial.DisableNothing)
			world.RunUntil(20 * time.Second)
			adversary.Stop()
			world.RunUntil(60 * time.Second)
			Expect(*violation).To(BeEmpty())
			for partition := range partitions {
				Expect(world.Owners(partition, trial.OtherKey)).To(HaveLen(1), "seed %d partition %d", seed, partition)
			}
		}
	})

	// Guards against a check that cannot fail: without a safeguard, the same adversary causes two owners.
	DescribeTable("is lost without a safeguard", func(disabled trial.Safeguard) {
		for seed := int64(1); seed <= 200; seed++ {
			_, found := run(seed, disabled, 30*time.Second)
			if found != "" {
				GinkgoWriter.Println("seed", seed, found)
				return
			}
		}
		Fail("no second owner was found")
	},
		Entry("leases counted from the arrival of their grants", trial.DisableDeadline),
		Entry("fences that are not compared", trial.DisableFences),
		Entry("witnesses that confirm any term", trial.DisableWitnesses),
	)
})

// Guards against two writes to a key that run at two upstreams at once. A host ends while its request runs at an upstream
// that checks no fences, and no other host can detect the request. The keeper then relies on the timeout in the settings,
// but the request was sent under other settings.
var _ = Describe("a request that runs longer than its host's lease", func() {
	const (
		shortTimeout = time.Second
		longTimeout  = 8 * time.Second
		// settleTime is the time after which all hosts have read the first timeout and one is the keeper.
		settleTime = 3 * time.Second
		sentAt     = 2 * settleTime
		// transferTime is the time after which the partition must have its next owner.
		transferTime = 30 * time.Second
	)
	DescribeTable("delays the transfer of its key", func(first, second, processingTime time.Duration, keeperDies bool) {
		settings := options(1)
		settings.NoFences = true
		world := trial.New(settings)
		violation := recordViolation(world)
		traffic := trial.NewTraffic(world, partitionOf, func(string, string) bool { return false })
		traffic.LossRate = 0
		world.SetTimeout(first, func(*trial.Host) time.Duration { return 0 })
		world.RunUntil(settleTime)
		keeper := world.KeeperHost()
		sender := world.Hosts[0]
		if sender == keeper {
			sender = world.Hosts[1]
		}
		sendAndKill := func() {
			upstream := traffic.Send(sender, 0, trial.OtherKey, processingTime, processingTime)
			Expect(upstream).NotTo(BeNil())
			world.Schedule(world.Now()+trial.MaxTransitTime, func() {
				world.Kill(&sender.Process)
				upstream.Draining = true
				if keeperDies {
					world.SetTimeout(second, func(*trial.Host) time.Duration { return 0 })
					world.Kill(&keeper.Process)
				}
			})
		}
		if !keeperDies {
			world.SetTimeout(second, func(*trial.Host) time.Duration { return 0 })
		}
		world.Schedule(sentAt, sendAndKill)
		world.RunUntil(sentAt + transferTime)
		Expect(*violation).To(BeEmpty())
		Expect(world.Owners(0, trial.OtherKey)).To(HaveLen(1))
	},
		Entry("when the timeout was raised", shortTimeout, longTimeout, longTimeout, false),
		Entry("when the timeout is lowered and another keeper takes over", longTimeout, shortTimeout, longTimeout, true),
	)
})

var _ = Describe("a world without faults", func() {
	It("gives every partition one owner", func() {
		world := trial.New(options(1))
		world.RunUntil(3 * time.Second)
		for partition := range partitions {
			Expect(world.Owners(partition, "")).To(HaveLen(1))
		}
	})
})
