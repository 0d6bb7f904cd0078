package edge_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/edge"
	"cherrykeel/picker"
)

const (
	service   = "test/keys"
	boot      = "boot"
	upstream  = "a"
	partition = 1
	// partitions is how many there are, and manyPartitions how many after a change.
	partitions     = 4
	manyPartitions = 2 * partitions
	// allowed is less than the service's timeout.
	allowed = 300 * time.Millisecond
	// connecting is how long a slow connection takes to be made.
	connecting     = time.Second
	requestTimeout = 30 * time.Second
)

// hand is a clock that moves when it is told.
type hand struct{ now atomic.Int64 }

func (hand *hand) Now() cherrykeel.Instant                { return cherrykeel.Instant(hand.now.Load()) }
func (hand *hand) Wall() time.Time                        { return time.Unix(0, hand.now.Load()) }
func (hand *hand) advance(by time.Duration)               { hand.now.Add(int64(by)) }
func (*hand) Owner(string, int, string) string            { return "" }
func (*hand) IsDraining(*cherrykeel.Service, string) bool { return false }

// sender hands each request to a function.
type sender func(ctx context.Context, request *http.Request) (conns.Progress, error)

func (sender sender) SendIfReady(ctx context.Context, _ string, request *http.Request, ready func() bool) (*conns.Answer, conns.Progress, error) {
	ctx = context.WithValue(ctx, readyKey{}, ready)
	progress, err := sender(ctx, request)
	return nil, progress, err
}

// world is a host whose view gives one upstream, which checks no fences, one partition.
type world struct {
	clock *hand
	fleet *edge.Fleet
}

func newWorld() *world {
	world := &world{clock: &hand{}}
	world.clock.advance(time.Hour)
	world.fleet = edge.NewFleet("zone", boot, world.clock, picker.NewLeastLoaded(), world.clock, func(string, int) {})
	world.publish(partitions)
	world.grant(1, partition)
	return world
}

// publish puts the service into force.
func (world *world) publish(partitions int) {
	world.fleet.Update(map[string]*cherrykeel.Service{service: {
		Path: service, Keyed: true, Partitions: partitions, Slots: 4, QueueLength: 4, Timeout: requestTimeout,
		Upstreams: []cherrykeel.UpstreamServer{{Name: upstream, Zone: "zone"}},
	}}, 1)
}

// unpublish takes it out of the settings.
func (world *world) unpublish() {
	world.fleet.Update(map[string]*cherrykeel.Service{}, 1)
}

type readyKey struct{}

// ready is asked by a sender that is about to write a request.
func ready(ctx context.Context) bool { return ctx.Value(readyKey{}).(func() bool)() }

// grant replaces what the host may send, and returns what it says it still holds.
func (world *world) grant(sequence int64, partitions ...int) []int {
	holding, known := world.fleet.GrantOrQueryView(false, cherrykeel.Grant{
		Service:     service,
		Fence:       cherrykeel.Fence{Term: 1, Sequence: sequence},
		Incarnation: boot,
		Until:       world.clock.Now().Add(time.Hour).Sub(0),
		Owners:      map[string][]int{upstream: partitions},
	})
	Expect(known).To(BeTrue())
	Expect(holding.Accepted).To(BeTrue())
	return holding.Owners[upstream]
}

// send passes one request on; it fails, since the sender does.
func (world *world) send(ctx context.Context, sender sender) {
	exchange := &cherrykeel.Exchange{
		ID:        "request",
		Request:   httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx),
		Writer:    httptest.NewRecorder(),
		Service:   &cherrykeel.Service{Path: service, Keyed: true, Timeout: requestTimeout},
		Key:       "key",
		Partition: partition,
		Arrived:   world.clock.Now(),
		Deadline:  world.clock.Now().Add(requestTimeout),
	}
	Expect(edge.NewForward(world.fleet, sender, deny.New(deny.Settings{Clock: world.clock, Logger: zap.NewNop()}), world.clock, zap.NewNop()).Serve(exchange, nil)).NotTo(BeNil())
}

var _ = Describe("a request to an upstream that checks no fences", func() {
	// A caller's write and the next one run at two upstreams at once. The first caller went away while its write
	// ran; the host closed the connection, but the network brings that to the upstream late, or never, and it
	// works on. If the host counted the write as ended, its partition would be free for the next owner.
	It("keeps its partition until its deadline if its caller went away", func() {
		world := newWorld()
		ctx, leave := context.WithCancel(context.Background())
		world.send(ctx, func(ctx context.Context, _ *http.Request) (conns.Progress, error) {
			leave()
			<-ctx.Done()
			return conns.Sent, errors.New("the host closed the connection")
		})
		Expect(world.grant(2)).To(ConsistOf(partition))
		world.clock.advance(requestTimeout - time.Millisecond)
		Expect(world.grant(3)).To(ConsistOf(partition))
		world.clock.advance(requestTimeout)
		Expect(world.grant(4)).To(BeEmpty())
	})

	// The upstream has ended the connection itself, as a process that is gone does, so that it works on nothing;
	// to wait for the deadline would leave the keys of a lost upstream unserved.
	It("leaves its partition at once if the upstream ended it", func() {
		world := newWorld()
		world.send(context.Background(), func(context.Context, *http.Request) (conns.Progress, error) {
			return conns.Sent, errors.New("connection reset by peer")
		})
		Expect(world.grant(2)).To(BeEmpty())
	})

	// Operators raise the service's Timeout, and a host reads that before the keeper does. If the host told an
	// upstream the new time and died, the keeper would pass the key on by the old one, while the request runs.
	It("gets no more time than the lease under which it is sent allows", func() {
		world := newWorld()
		holding, _ := world.fleet.GrantOrQueryView(false, cherrykeel.Grant{
			Service:     service,
			Fence:       cherrykeel.Fence{Term: 1, Sequence: 2},
			Incarnation: boot,
			Until:       world.clock.Now().Add(time.Hour).Sub(0),
			Timeout:     allowed,
			Partial:     true,
		})
		Expect(holding.Accepted).To(BeTrue())
		world.send(context.Background(), func(ctx context.Context, request *http.Request) (conns.Progress, error) {
			Expect(ready(ctx)).To(BeTrue())
			told, err := strconv.Atoi(request.Header.Get(cherrykeel.HeaderTimeout))
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Duration(told) * time.Millisecond).To(BeNumerically("<=", allowed))
			<-ctx.Done()
			return conns.Sent, ctx.Err()
		})
		Expect(world.grant(3)).To(ConsistOf(partition))
		world.clock.advance(2 * allowed)
		Expect(world.grant(4)).To(BeEmpty())
	})

	// The keeper passes a key on when the request's deadline has passed; the upstream counts the time that it is
	// told from the arrival. A connection that takes long to be made must not add to it.
	It("is told what is left when the connection is there", func() {
		world := newWorld()
		world.send(context.Background(), func(ctx context.Context, request *http.Request) (conns.Progress, error) {
			world.clock.advance(connecting)
			if !ready(ctx) {
				return conns.NotSent, errors.New("not sent")
			}
			told, err := strconv.Atoi(request.Header.Get(cherrykeel.HeaderTimeout))
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Duration(told) * time.Millisecond).To(BeNumerically("<=", requestTimeout-connecting))
			return conns.Sent, errors.New("connection reset by peer")
		})
	})

	// As above; the host was paused, and when it is back, its lease has ended and the key may have another owner.
	It("is not sent if the lease has ended when the connection is there", func() {
		world := newWorld()
		sent := false
		world.send(context.Background(), func(ctx context.Context, _ *http.Request) (conns.Progress, error) {
			world.clock.advance(2 * time.Hour)
			sent = ready(ctx)
			return conns.NotSent, errors.New("not sent")
		})
		Expect(sent).To(BeFalse())
	})

	It("leaves its partition at once if it was never sent", func() {
		world := newWorld()
		ctx, leave := context.WithCancel(context.Background())
		world.send(ctx, func(ctx context.Context, _ *http.Request) (conns.Progress, error) {
			leave()
			<-ctx.Done()
			return conns.NotSent, errors.New("no connection")
		})
		Expect(world.grant(2)).To(BeEmpty())
	})

	// The caller's write and the next one run at two upstreams at once. While the first runs, an operator takes
	// the service out of the settings and, seeing the mistake, puts it back. If the host began anew, it would
	// say that it has sent nothing, and take grants of keepers that were replaced long ago.
	DescribeTable("keeps its partition through a change of settings", func(change func(world *world)) {
		world := newWorld()
		world.send(context.Background(), func(context.Context, *http.Request) (conns.Progress, error) {
			change(world)
			Expect(world.grant(2)).To(ConsistOf(partition))
			return conns.Sent, errors.New("connection reset by peer")
		})
		Expect(world.grant(3)).To(BeEmpty())
		late, _ := world.fleet.GrantOrQueryView(false, cherrykeel.Grant{Service: service, Incarnation: boot, Fence: cherrykeel.Fence{Term: 1, Sequence: 1}})
		Expect(late.Accepted).To(BeFalse())
	},
		Entry("that removes the service and adds it again", func(world *world) {
			world.unpublish()
			world.publish(partitions)
		}),
		Entry("that cuts it into other partitions", func(world *world) { world.publish(manyPartitions) }),
	)
})
