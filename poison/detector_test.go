package poison_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/poison"
)

func instant(moment time.Duration) cherrykeel.Instant {
	return cherrykeel.Instant(moment)
}

var _ = Describe("a crash detector", func() {
	incarnation := poison.Incarnation{Upstream: "u-1", StartedAt: 5}
	lost := func(moment time.Duration) poison.UnansweredAttempt {
		return poison.UnansweredAttempt{Fingerprint: poison.Fingerprint{1}, Incarnation: incarnation, Address: "10.0.0.9:80", EndedAt: instant(moment)}
	}

	It("returns an unanswered attempt once no process listens at its address", func() {
		var detector poison.CrashDetector
		detector.RecordUnanswered(lost(time.Second))
		Expect(detector.RemoveByAddress("10.0.0.8:80", instant(2*time.Second))).To(BeEmpty())
		Expect(detector.RemoveByAddress("10.0.0.9:80", instant(2*time.Second))).To(HaveLen(1))
		Expect(detector.RemoveByAddress("10.0.0.9:80", instant(2*time.Second))).To(BeEmpty(), "each attempt is returned once")
	})

	// Guards against suspecting a request that was not running: a full upstream reset its connection, kept running, and
	// crashed seconds later by another cause.
	It("does not return it if the upstream has answered another request since", func() {
		var detector poison.CrashDetector
		detector.RecordUnanswered(lost(time.Second))
		detector.RecordAnswer(incarnation, instant(1100*time.Millisecond))
		Expect(detector.RemoveByIncarnation(incarnation, instant(2*time.Second))).To(BeEmpty())
	})

	// Guards against an answer in transit at the crash, which is read after other connections have ended.
	It("returns it if the answer is to a request that was sent before the attempt ended", func() {
		var detector poison.CrashDetector
		detector.RecordUnanswered(lost(time.Second))
		detector.RecordAnswer(incarnation, instant(900*time.Millisecond))
		Expect(detector.RemoveByIncarnation(incarnation, instant(2*time.Second))).To(HaveLen(1))
	})

	It("does not return it if another incarnation of the upstream ends, or this one much later", func() {
		var detector poison.CrashDetector
		detector.RecordUnanswered(lost(time.Second))
		Expect(detector.RemoveByIncarnation(poison.Incarnation{Upstream: "u-1", StartedAt: 6}, instant(2*time.Second))).To(BeEmpty())
		Expect(detector.RemoveByIncarnation(incarnation, instant(time.Minute))).To(BeEmpty())
	})

	It("keeps a limited number of attempts", func() {
		var detector poison.CrashDetector
		for range 10000 {
			detector.RecordUnanswered(lost(time.Second))
		}
		Expect(len(detector.RemoveByIncarnation(incarnation, instant(time.Second)))).To(BeNumerically("<", 2000))
	})

	// Guards against overlooking an abandoned request: the upstream still has it queued, answers later ones, then runs it
	// and crashes.
	It("returns an abandoned attempt for a little longer, even after other answers", func() {
		var detector poison.CrashDetector
		abandoned := lost(time.Second)
		abandoned.Abandoned = true
		detector.RecordUnanswered(abandoned)
		detector.RecordAnswer(incarnation, instant(1100*time.Millisecond))
		Expect(detector.RemoveByIncarnation(incarnation, instant(2*time.Second))).To(HaveLen(1))
		detector.RecordUnanswered(abandoned)
		Expect(detector.RemoveByIncarnation(incarnation, instant(4*time.Second))).To(BeEmpty())
	})

	It("keeps other attempts when many are abandoned", func() {
		var detector poison.CrashDetector
		detector.RecordUnanswered(lost(time.Second))
		for range 10000 {
			abandoned := lost(time.Second)
			abandoned.Fingerprint = poison.Fingerprint{2}
			abandoned.Abandoned = true
			detector.RecordUnanswered(abandoned)
		}
		Expect(detector.RemoveByIncarnation(incarnation, instant(time.Second))).To(ContainElement(HaveField("Fingerprint", poison.Fingerprint{1})))
	})
})
