package deny_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/poison"
)

var _ = Describe("a crash that a refused connection has shown", func() {
	var fixture *fixture

	suspected := func() bool { return fixture.list.NewRequest(requestParts).IsSuspected() }

	BeforeEach(func() {
		fixture = newFixture()
		fixture.connectionRefused.Store(true)
		fixture.loseRequest()
		Eventually(suspected).Should(BeTrue())
	})

	// Guards against ordinary requests that count as crashing upstreams, since hosts that have just lost their links are
	// refused connections: a second such cut, and they would be denied everywhere.
	It("is withdrawn, and announced as such, when the same incarnation answers a later request", func() {
		time.Sleep(time.Millisecond)
		fixture.list.RecordAnswer(fixture.incarnation(), fixture.clock.Now())
		Expect(suspected()).To(BeFalse())
		Expect(fixture.announced.Load()).To(Equal(int64(2)))
	})

	// Guards against a crash that is forgotten because of an answer from before it, or of another upstream.
	It("stays if the answered request was sent before, or to another incarnation", func() {
		fixture.list.RecordAnswer(fixture.incarnation(), fixture.clock.Now().Add(-time.Minute))
		fixture.list.RecordAnswer(poison.Incarnation{Upstream: "another"}, fixture.clock.Now())
		Expect(suspected()).To(BeTrue())
	})

	// Guards against a crash that is forgotten because the upstream has started again under its ID.
	It("stays if the answer comes when the upstream can have started again", func() {
		time.Sleep(1100 * time.Millisecond)
		fixture.list.RecordAnswer(fixture.incarnation(), fixture.clock.Now())
		Expect(suspected()).To(BeTrue())
	})
})
