package poison_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/poison"
)

func at(moment time.Duration) cherrykeel.Instant {
	return cherrykeel.Instant(moment)
}

var _ = Describe("a host that loses a request", func() {
	life := poison.Incarnation{Upstream: "u-1", StartedAt: 5}
	lost := func(moment time.Duration) poison.UnansweredAttempt {
		return poison.UnansweredAttempt{Fingerprint: poison.Fingerprint{1}, Incarnation: life, Address: "10.0.0.9:80", EndedAt: at(moment)}
	}

	It("knows that its upstream has ended once nobody listens there", func() {
		var witness poison.CrashDetector
		witness.RecordUnanswered(lost(time.Second))
		Expect(witness.RemoveByAddress("10.0.0.8:80", at(2*time.Second))).To(BeEmpty())
		Expect(witness.RemoveByAddress("10.0.0.9:80", at(2*time.Second))).To(HaveLen(1))
		Expect(witness.RemoveByAddress("10.0.0.9:80", at(2*time.Second))).To(BeEmpty(), "each is told once")
	})

	// A full upstream resets a connection and goes on. It ends seconds later, by something else: the request that it
	// reset was not at work then.
	It("does not when the upstream has answered another request since", func() {
		var witness poison.CrashDetector
		witness.RecordUnanswered(lost(time.Second))
		witness.RecordAnswer(life, at(1100*time.Millisecond))
		Expect(witness.RemoveByIncarnation(life, at(2*time.Second))).To(BeEmpty())
	})

	// An answer that was on its way when the upstream ended is read after the other connections' ends.
	It("does when the answer is to a request sent before", func() {
		var witness poison.CrashDetector
		witness.RecordUnanswered(lost(time.Second))
		witness.RecordAnswer(life, at(900*time.Millisecond))
		Expect(witness.RemoveByIncarnation(life, at(2*time.Second))).To(HaveLen(1))
	})

	It("does not when another life of the upstream ends, or this one long after", func() {
		var witness poison.CrashDetector
		witness.RecordUnanswered(lost(time.Second))
		Expect(witness.RemoveByIncarnation(poison.Incarnation{Upstream: "u-1", StartedAt: 6}, at(2*time.Second))).To(BeEmpty())
		Expect(witness.RemoveByIncarnation(life, at(time.Minute))).To(BeEmpty())
	})

	It("keeps a bounded number of such requests", func() {
		var witness poison.CrashDetector
		for range 10000 {
			witness.RecordUnanswered(lost(time.Second))
		}
		Expect(len(witness.RemoveByIncarnation(life, at(time.Second)))).To(BeNumerically("<", 2000))
	})

	// A request waits in an upstream's own queue until its caller leaves. The upstream does not look, runs it, and ends;
	// meanwhile it has answered others that came later.
	It("knows that one which it gave up may have run there a little later", func() {
		var witness poison.CrashDetector
		abandoned := lost(time.Second)
		abandoned.Abandoned = true
		witness.RecordUnanswered(abandoned)
		witness.RecordAnswer(life, at(1100*time.Millisecond))
		Expect(witness.RemoveByIncarnation(life, at(2*time.Second))).To(HaveLen(1))
		witness.RecordUnanswered(abandoned)
		Expect(witness.RemoveByIncarnation(life, at(4*time.Second))).To(BeEmpty())
	})

	It("is not made to forget what it lost by many that it gave up", func() {
		var witness poison.CrashDetector
		witness.RecordUnanswered(lost(time.Second))
		for range 10000 {
			abandoned := lost(time.Second)
			abandoned.Fingerprint = poison.Fingerprint{2}
			abandoned.Abandoned = true
			witness.RecordUnanswered(abandoned)
		}
		Expect(witness.RemoveByIncarnation(life, at(time.Second))).To(ContainElement(HaveField("Identity", poison.Fingerprint{1})))
	})
})
