package deny_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/poison"
)

func TestDeny(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deny")
}

const address = "10.0.0.9:80"

var requestParts = poison.RequestParts{Method: "GET", Domain: "h", Path: "/deadly", CallerAddress: "10.0.0.1:5", Body: []byte("x")}

// fixture is a list with callbacks that count their calls, and one upstream at a time that may refuse connections.
type fixture struct {
	list              *deny.List
	clock             cherrykeel.Clock
	connectionRefused atomic.Bool
	probes            atomic.Int64
	announcedShutdown atomic.Bool
	announced         atomic.Int64
	stored            atomic.Int64
	upstream          int
}

func newFixture() *fixture {
	fixture := &fixture{clock: cherrykeel.SystemClock()}
	fixture.list = deny.New(deny.Settings{
		Clock: fixture.clock, Logger: zap.NewNop(), MinCrashesToStore: 2,
		IsConnectionRefused: func(string) bool {
			fixture.probes.Add(1)
			return fixture.connectionRefused.Load()
		},
		HasAnnouncedShutdown: func(poison.Incarnation) bool { return fixture.announcedShutdown.Load() },
		Announce:             func(poison.Record) { fixture.announced.Add(1) },
		Store:                func(poison.Record) { fixture.stored.Add(1) },
	})
	return fixture
}

func (fixture *fixture) incarnation() poison.Incarnation {
	return poison.Incarnation{Upstream: fmt.Sprint("u-", fixture.upstream)}
}

func (fixture *fixture) attempt() poison.UnansweredAttempt {
	now := fixture.clock.Now()
	return poison.UnansweredAttempt{RequestID: "r", Service: "s", Incarnation: fixture.incarnation(), Address: address, SentAt: now, EndedAt: now}
}

// loseRequest ends the request's connection without an answer.
func (fixture *fixture) loseRequest() {
	fixture.list.NewRequest(requestParts).RecordUnanswered(fixture.attempt())
}

// crash makes the upstream crash while it runs the request; the next upstream then takes its place.
func (fixture *fixture) crash() {
	fixture.loseRequest()
	fixture.list.RecordIncarnationEnded(fixture.incarnation())
	fixture.upstream++
}

var _ = Describe("a host's list of requests that crash upstreams", func() {
	var fixture *fixture

	BeforeEach(func() { fixture = newFixture() })

	denied := func() bool {
		_, denied := fixture.list.NewRequest(requestParts).DenialRemaining()
		return denied
	}

	It("probes the address at which a request was lost, and counts a crash if no process listens there", func() {
		fixture.connectionRefused.Store(true)
		fixture.loseRequest()
		Eventually(fixture.list.NewRequest(requestParts).IsSuspected).Should(BeTrue())
		Expect(fixture.announced.Load()).To(Equal(int64(1)))
		Expect(fixture.stored.Load()).To(Equal(int64(0)), "one crash is announced, not stored")
	})

	// Guards against probes that add to an overload: upstreams that are full reset hundreds of connections a second, and
	// a probe for each would use up connections that they have left, so that twice as many exceed their capacity.
	It("does not probe where a connection was reset", func() {
		reset := fixture.attempt()
		reset.ConnectionReset = true
		fixture.list.NewRequest(requestParts).RecordUnanswered(reset)
		Consistently(fixture.probes.Load, "50ms").Should(Equal(int64(0)))
		fixture.list.RecordIncarnationEnded(fixture.incarnation())
		Expect(fixture.list.NewRequest(requestParts).IsSuspected()).To(BeTrue(), "the crash is detected otherwise later")
	})

	It("does not count a connection that a running upstream closed, and probes at a limited rate", func() {
		for range 1000 {
			fixture.loseRequest()
		}
		Eventually(fixture.probes.Load).Should(Equal(int64(1)))
		Expect(fixture.list.NewRequest(requestParts).IsSuspected()).To(BeFalse())
		fixture.list.RecordAnswer(fixture.incarnation(), fixture.clock.Now())
		fixture.list.RecordIncarnationEnded(fixture.incarnation())
		Expect(fixture.list.NewRequest(requestParts).IsSuspected()).To(BeFalse(), "the upstream has answered since")
	})

	It("does not count the end of an upstream that announced its shutdown", func() {
		fixture.announcedShutdown.Store(true)
		fixture.crash()
		Expect(fixture.list.NewRequest(requestParts).IsSuspected()).To(BeFalse())
	})

	It("denies at the third crash, wakes waiting requests, and returns how long the denial lasts", func() {
		fixture.crash()
		fixture.crash()
		denialAdded := fixture.list.DenialAdded()
		Expect(denied()).To(BeFalse())
		fixture.crash()
		Expect(denialAdded).To(BeClosed())
		remaining, _ := fixture.list.NewRequest(requestParts).DenialRemaining()
		Expect(remaining).To(BeNumerically("~", time.Hour, time.Minute))
		Expect(fixture.stored.Load()).To(Equal(int64(2)))
	})

	It("denies what another host has observed, but neither to another caller nor with another body", func() {
		other := newFixture()
		for range poison.CrashesToDeny {
			other.crash()
		}
		for _, record := range other.list.Records() {
			fixture.list.Merge(record)
		}
		Expect(denied()).To(BeTrue())
		Expect(fixture.announced.Load()).To(Equal(int64(0)), "only the host that observed it announces it")
		for _, change := range []func(requestParts *poison.RequestParts){
			func(requestParts *poison.RequestParts) { requestParts.CallerAddress = "10.0.0.2:5" },
			func(requestParts *poison.RequestParts) { requestParts.Body = []byte("y") },
		} {
			innocent := requestParts
			change(&innocent)
			_, denied := fixture.list.NewRequest(innocent).DenialRemaining()
			Expect(denied).To(BeFalse())
		}
	})

	// Guards against a request that comes from another address each time, so that no single caller reaches the threshold.
	It("denies a request that came from another address at each crash, but not another body from there", func() {
		from := func(number int) poison.RequestParts {
			other := requestParts
			other.CallerAddress = fmt.Sprintf("10.0.1.%d:5", number)
			return other
		}
		for number := range poison.CrashesToDeny {
			fixture.list.NewRequest(from(number)).RecordUnanswered(fixture.attempt())
			fixture.list.RecordIncarnationEnded(fixture.incarnation())
			fixture.upstream++
		}
		_, denied := fixture.list.NewRequest(from(9)).DenialRemaining()
		Expect(denied).To(BeTrue())
		innocent := from(9)
		innocent.Body = []byte("y")
		_, denied = fixture.list.NewRequest(innocent).DenialRemaining()
		Expect(denied).To(BeFalse())
	})

	It("stops denying a request once an upstream has answered it, and announces that", func() {
		for range poison.CrashesToDeny {
			fixture.crash()
		}
		announced := fixture.announced.Load()
		fixture.list.NewRequest(requestParts).RecordSuccess()
		Expect(denied()).To(BeFalse())
		Expect(fixture.announced.Load()).To(Equal(announced + 1))
	})

	// Guards against a host that starts with two crashes of four: two hosts saw two crashes each and stored them at the
	// same time, and the later record replaced the earlier one.
	It("stores the merged record again if the stored one lacks what this host has observed", func() {
		other := newFixture()
		other.upstream = 10
		for range 2 {
			fixture.crash()
			other.crash()
		}
		stored, replacing := fixture.stored.Load(), other.list.Records()[0]
		fixture.list.MergeStored(replacing)
		Expect(fixture.stored.Load()).To(Equal(stored + 1))
		fixture.list.MergeStored(fixture.list.Records()[0])
		Expect(fixture.stored.Load()).To(Equal(stored+1), "the stored record is complete now")
		reader := newFixture()
		reader.list.MergeStored(replacing)
		Expect(reader.stored.Load()).To(Equal(int64(0)), "a host that has observed nothing stores nothing")
	})

	It("computes no fingerprint while there is no record of a request's target", func() {
		request := fixture.list.NewRequest(requestParts)
		_, _ = request.DenialRemaining()
		_, computed := request.ComputedFingerprint()
		Expect(computed).To(BeFalse())
	})
})
