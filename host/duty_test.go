package host

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/config"
	"cherrykeel/fold"
	"cherrykeel/tree"
)

var _ = Describe("a host that decides on leases", func() {
	// Failure: a request goes to an upstream that has lost its key. The host's machine was suspended for longer than the
	// host's lease on sending, and keys moved meanwhile. With a clock that stops during suspension, the host would treat
	// its lease as valid and its witness as reliable.
	It("counts the time for which its machine was suspended", func() {
		host := New(config.Config{Name: "host"})
		Expect(host.clock.Now()).To(BeNumerically("~", cherrykeel.BootTimeClock().Now(), time.Second))
	})

	// Failure: a key gets two owners, because a replaced keeper is still confirmed. Its witness was suspended, and the
	// new keeper treated it as unavailable. Then the witness reads the log to its end, but cannot use the settings
	// there, which a newer program wrote. If it ignored the claims for that reason, it would confirm the old term.
	It("records new terms from the log even if it cannot use the settings there", func() {
		const service = "test/keys"
		host := New(config.Config{Name: "host"})
		state := fold.NewState()
		state.Ownership[service] = fold.ServiceOwnership{Term: 7}
		host.onState(state)
		host.coordinator.recordCaughtUp(host.clock.Now())
		Expect(host.coordinator.confirmedServices(map[string]int64{service: 7}, host.clock.Now())).To(ConsistOf(service))

		newer := state.Clone()
		newer.Version = state.Version + 1
		newer.Nodes["test"] = tree.Node{Path: "test", Version: newer.Version, Fields: map[string]any{"Timeout": "by a newer program"}}
		newer.Nodes["test/keys"] = tree.Node{Path: "test/keys", Version: newer.Version, Fields: map[string]any{}}
		newer.Ownership[service] = fold.ServiceOwnership{Term: 8}
		host.onState(newer)
		Expect(host.settingsError.Load()).NotTo(BeNil())
		host.coordinator.recordCaughtUp(host.clock.Now())
		Expect(host.coordinator.confirmedServices(map[string]int64{service: 7}, host.clock.Now())).To(BeEmpty())
	})
})
