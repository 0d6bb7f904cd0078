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

var parts = poison.RequestParts{Method: "GET", Domain: "h", Path: "/deadly", CallerAddress: "10.0.0.1:5", Body: []byte("x")}

// scene is a list whose upstream answers connections, or does not.
type scene struct {
	list     *deny.List
	clock    cherrykeel.Clock
	refuses  atomic.Bool
	probes   atomic.Int64
	leaving  atomic.Bool
	told     atomic.Int64
	kept     atomic.Int64
	upstream int
}

func newScene() *scene {
	scene := &scene{clock: cherrykeel.SystemClock()}
	scene.list = deny.New(deny.Settings{
		Clock: scene.clock, Logger: zap.NewNop(), MinCrashesToStore: 2,
		IsConnectionRefused: func(string) bool {
			scene.probes.Add(1)
			return scene.refuses.Load()
		},
		HasAnnouncedShutdown: func(poison.Incarnation) bool { return scene.leaving.Load() },
		Announce:             func(poison.Record) { scene.told.Add(1) },
		Store:                func(poison.Record) { scene.kept.Add(1) },
	})
	return scene
}

func (scene *scene) life() poison.Incarnation {
	return poison.Incarnation{Upstream: fmt.Sprint("u-", scene.upstream)}
}

func (scene *scene) broke() poison.UnansweredAttempt {
	now := scene.clock.Now()
	return poison.UnansweredAttempt{RequestID: "r", Service: "s", Incarnation: scene.life(), Address: address, SentAt: now, EndedAt: now}
}

// lose has the request's connection end without an answer.
func (scene *scene) lose() {
	scene.list.NewRequest(parts).RecordUnanswered(scene.broke())
}

// end has the upstream end under the request, and the next one come.
func (scene *scene) end() {
	scene.lose()
	scene.list.RecordIncarnationEnded(scene.life())
	scene.upstream++
}

var _ = Describe("a host's list of requests that end upstreams", func() {
	var scene *scene

	BeforeEach(func() { scene = newScene() })

	refused := func() bool {
		_, refused := scene.list.NewRequest(parts).Denied()
		return refused
	}

	It("asks the address at which a request was lost, and counts the end if nobody listens there", func() {
		scene.refuses.Store(true)
		scene.lose()
		Eventually(scene.list.NewRequest(parts).IsSuspected).Should(BeTrue())
		Expect(scene.told.Load()).To(Equal(int64(1)))
		Expect(scene.kept.Load()).To(Equal(int64(0)), "one end is told, not kept")
	})

	// Upstreams that are full reset hundreds of connections a second, and go on. A probe for each took up connections
	// that they had left: twice as many were beyond their room.
	It("does not ask where a connection was reset", func() {
		found := scene.broke()
		found.ConnectionReset = true
		scene.list.NewRequest(parts).RecordUnanswered(found)
		Consistently(scene.probes.Load, "50ms").Should(Equal(int64(0)))
		scene.list.RecordIncarnationEnded(scene.life())
		Expect(scene.list.NewRequest(parts).IsSuspected()).To(BeTrue(), "the end shows by itself later")
	})

	It("counts no connection that a living upstream ended, and asks seldom", func() {
		for range 1000 {
			scene.lose()
		}
		Eventually(scene.probes.Load).Should(Equal(int64(1)))
		Expect(scene.list.NewRequest(parts).IsSuspected()).To(BeFalse())
		scene.list.RecordAnswer(scene.life(), scene.clock.Now())
		scene.list.RecordIncarnationEnded(scene.life())
		Expect(scene.list.NewRequest(parts).IsSuspected()).To(BeFalse(), "it has answered since")
	})

	It("counts no end that an upstream had said before", func() {
		scene.leaving.Store(true)
		scene.end()
		Expect(scene.list.NewRequest(parts).IsSuspected()).To(BeFalse())
	})

	It("refuses at the third end, wakes who waits, and says for how long", func() {
		scene.end()
		scene.end()
		changed := scene.list.DenialAdded()
		Expect(refused()).To(BeFalse())
		scene.end()
		Expect(changed).To(BeClosed())
		left, _ := scene.list.NewRequest(parts).Denied()
		Expect(left).To(BeNumerically("~", time.Hour, time.Minute))
		Expect(scene.kept.Load()).To(Equal(int64(2)))
	})

	It("refuses what another host has seen, and neither the same of another caller nor another body", func() {
		other := newScene()
		for range poison.CrashesToDeny {
			other.end()
		}
		for _, record := range other.list.Records() {
			scene.list.Merge(record)
		}
		Expect(refused()).To(BeTrue())
		Expect(scene.told.Load()).To(Equal(int64(0)), "who has seen it tells")
		for _, change := range []func(parts *poison.RequestParts){
			func(parts *poison.RequestParts) { parts.CallerAddress = "10.0.0.2:5" },
			func(parts *poison.RequestParts) { parts.Body = []byte("y") },
		} {
			innocent := parts
			change(&innocent)
			_, found := scene.list.NewRequest(innocent).Denied()
			Expect(found).To(BeFalse())
		}
	})

	// Guards against an address that stands for a caller: the same request comes from another machine each time.
	It("refuses what came from another address at each end, and another body there it does not", func() {
		again := func(address int) poison.RequestParts {
			other := parts
			other.CallerAddress = fmt.Sprintf("10.0.1.%d:5", address)
			return other
		}
		for number := range poison.CrashesToDeny {
			scene.list.NewRequest(again(number)).RecordUnanswered(scene.broke())
			scene.list.RecordIncarnationEnded(scene.life())
			scene.upstream++
		}
		_, found := scene.list.NewRequest(again(9)).Denied()
		Expect(found).To(BeTrue())
		innocent := again(9)
		innocent.Body = []byte("y")
		_, found = scene.list.NewRequest(innocent).Denied()
		Expect(found).To(BeFalse())
	})

	It("takes all back once an upstream has served the request, and tells that", func() {
		for range poison.CrashesToDeny {
			scene.end()
		}
		told := scene.told.Load()
		scene.list.NewRequest(parts).RecordSuccess()
		Expect(refused()).To(BeFalse())
		Expect(scene.told.Load()).To(Equal(told + 1))
	})

	// Two hosts see two ends each and write them at the same moment. The later record stands in the place of the earlier
	// one, so that a host that starts would know two ends of four.
	It("has all kept again when the record that stands lacks what it has seen", func() {
		other := newScene()
		other.upstream = 10
		for range 2 {
			scene.end()
			other.end()
		}
		kept, stood := scene.kept.Load(), other.list.Records()[0]
		scene.list.MergeStored(stood)
		Expect(scene.kept.Load()).To(Equal(kept + 1))
		scene.list.MergeStored(scene.list.Records()[0])
		Expect(scene.kept.Load()).To(Equal(kept+1), "it stands now")
		reader := newScene()
		reader.list.MergeStored(stood)
		Expect(reader.kept.Load()).To(Equal(int64(0)), "who has seen nothing writes nothing")
	})

	It("works out no identity while nothing is known of what a request asks for", func() {
		request := scene.list.NewRequest(parts)
		_, _ = request.Denied()
		_, identified := request.ComputedFingerprint()
		Expect(identified).To(BeFalse())
	})
})
