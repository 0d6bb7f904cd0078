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
	service     = "test/keys"
	incarnation = "boot"
	upstream    = "a"
	partition   = 1
	// partitions is the service's number of partitions, and partitionsAfterChange its number after a change of settings.
	partitions            = 4
	partitionsAfterChange = 2 * partitions
	// leaseTimeout is the request timeout of a lease; it is less than the service's.
	leaseTimeout = 300 * time.Millisecond
	// connectDuration is how long a slow connection takes to be established.
	connectDuration = time.Second
	requestTimeout  = 30 * time.Second
)

// manualClock is a clock that only advance moves. It also implements edge.Owners for upstreams that own nothing.
type manualClock struct{ now atomic.Int64 }

func (clock *manualClock) Now() cherrykeel.Instant { return cherrykeel.Instant(clock.now.Load()) }

func (clock *manualClock) Wall() time.Time                       { return time.Unix(0, clock.now.Load()) }
func (clock *manualClock) advance(by time.Duration)              { clock.now.Add(int64(by)) }
func (*manualClock) Owner(string, int, string) string            { return "" }
func (*manualClock) IsDraining(*cherrykeel.Service, string) bool { return false }

// senderFunc is a Sender that calls a function; the request's ready callback is in the context.
type senderFunc func(ctx context.Context, request *http.Request) (conns.Progress, error)

func (sender senderFunc) SendIfReady(ctx context.Context, _ string, request *http.Request, ready func() bool) (*conns.Answer, conns.Progress, error) {
	ctx = context.WithValue(ctx, readyKey{}, ready)
	progress, err := sender(ctx, request)
	return nil, progress, err
}

// testHost is a host with a lease on one partition of one upstream, which checks no fences.
type testHost struct {
	clock *manualClock
	fleet *edge.Fleet
}

func newTestHost() *testHost {
	host := &testHost{clock: &manualClock{}}
	host.clock.advance(time.Hour)
	host.fleet = edge.NewFleet("zone", incarnation, host.clock, picker.NewLeastLoaded(), host.clock, func(string, int) {})
	host.addService(partitions)
	host.replaceGrant(1, partition)
	return host
}

// addService adds the service to the settings in force, or changes its number of partitions.
func (host *testHost) addService(partitions int) {
	host.fleet.Update(map[string]*cherrykeel.Service{service: {
		Path: service, Keyed: true, Partitions: partitions, Slots: 4, QueueLength: 4, Timeout: requestTimeout,
		Upstreams: []cherrykeel.UpstreamServer{{Name: upstream, Zone: "zone"}},
	}}, 1)
}

// removeService removes the service from the settings in force.
func (host *testHost) removeService() {
	host.fleet.Update(map[string]*cherrykeel.Service{}, 1)
}

type readyKey struct{}

// mayWrite calls the ready callback of the request that is about to be written.
func mayWrite(ctx context.Context) bool { return ctx.Value(readyKey{}).(func() bool)() }

// replaceGrant replaces the partitions that the host may send to, and returns those that it reports as still held.
func (host *testHost) replaceGrant(sequence int64, partitions ...int) []int {
	holding, known := host.fleet.GrantOrQueryView(false, cherrykeel.Grant{
		Service:     service,
		Fence:       cherrykeel.Fence{Term: 1, Sequence: sequence},
		Incarnation: incarnation,
		Until:       host.clock.Now().Add(time.Hour).Sub(0),
		Owners:      map[string][]int{upstream: partitions},
	})
	Expect(known).To(BeTrue())
	Expect(holding.Accepted).To(BeTrue())
	return holding.Owners[upstream]
}

// send forwards one request and expects it to fail, as each senderFunc returns an error.
func (host *testHost) send(ctx context.Context, sender senderFunc) {
	exchange := &cherrykeel.Exchange{
		ID:        "request",
		Request:   httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx),
		Writer:    httptest.NewRecorder(),
		Service:   &cherrykeel.Service{Path: service, Keyed: true, Timeout: requestTimeout},
		Key:       "key",
		Partition: partition,
		Arrived:   host.clock.Now(),
		Deadline:  host.clock.Now().Add(requestTimeout),
	}
	Expect(edge.NewForward(host.fleet, sender, deny.New(deny.Settings{Clock: host.clock, Logger: zap.NewNop()}), host.clock, zap.NewNop()).Serve(exchange, nil)).NotTo(BeNil())
}

var _ = Describe("a request to an upstream that checks no fences", func() {
	// Failure: two writes to a key run on two upstreams at once. The first caller disconnected and the host closed the
	// connection, but the upstream has not noticed and still runs the write, while the partition gets its next owner.
	It("keeps its partition until its deadline if its caller disconnected", func() {
		host := newTestHost()
		ctx, cancel := context.WithCancel(context.Background())
		host.send(ctx, func(ctx context.Context, _ *http.Request) (conns.Progress, error) {
			cancel()
			<-ctx.Done()
			return conns.Sent, errors.New("the host closed the connection")
		})
		Expect(host.replaceGrant(2)).To(ConsistOf(partition))
		host.clock.advance(requestTimeout - time.Millisecond)
		Expect(host.replaceGrant(3)).To(ConsistOf(partition))
		host.clock.advance(requestTimeout)
		Expect(host.replaceGrant(4)).To(BeEmpty())
	})

	// Failure: the keys of a crashed upstream stay unserved until the deadline. An upstream that closed the connection
	// itself, as a crash does, no longer runs the request.
	It("releases its partition at once if the upstream closed the connection", func() {
		host := newTestHost()
		host.send(context.Background(), func(context.Context, *http.Request) (conns.Progress, error) {
			return conns.Sent, errors.New("connection reset by peer")
		})
		Expect(host.replaceGrant(2)).To(BeEmpty())
	})

	// Failure: a key gets its next owner while a request for it still runs. Operators raise the service's Timeout; a host
	// reads that before the keeper does, sends a request with the new timeout and crashes. The keeper waits for the old
	// timeout only.
	It("gets no more time than the lease under which it is sent allows", func() {
		host := newTestHost()
		holding, _ := host.fleet.GrantOrQueryView(false, cherrykeel.Grant{
			Service:     service,
			Fence:       cherrykeel.Fence{Term: 1, Sequence: 2},
			Incarnation: incarnation,
			Until:       host.clock.Now().Add(time.Hour).Sub(0),
			Timeout:     leaseTimeout,
			Partial:     true,
		})
		Expect(holding.Accepted).To(BeTrue())
		host.send(context.Background(), func(ctx context.Context, request *http.Request) (conns.Progress, error) {
			Expect(mayWrite(ctx)).To(BeTrue())
			headerTimeout, err := strconv.Atoi(request.Header.Get(cherrykeel.HeaderTimeout))
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Duration(headerTimeout) * time.Millisecond).To(BeNumerically("<=", leaseTimeout))
			<-ctx.Done()
			return conns.Sent, ctx.Err()
		})
		Expect(host.replaceGrant(3)).To(ConsistOf(partition))
		host.clock.advance(2 * leaseTimeout)
		Expect(host.replaceGrant(4)).To(BeEmpty())
	})

	// Failure: a key gets its next owner while a request for it still runs. The keeper transfers the key after the
	// request's deadline, but the upstream counts the timeout in the header from the request's arrival, so the time that
	// it took to connect must not be part of it.
	It("is sent with the time that is left once the connection is established", func() {
		host := newTestHost()
		host.send(context.Background(), func(ctx context.Context, request *http.Request) (conns.Progress, error) {
			host.clock.advance(connectDuration)
			if !mayWrite(ctx) {
				return conns.NotSent, errors.New("not sent")
			}
			headerTimeout, err := strconv.Atoi(request.Header.Get(cherrykeel.HeaderTimeout))
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Duration(headerTimeout) * time.Millisecond).To(BeNumerically("<=", requestTimeout-connectDuration))
			return conns.Sent, errors.New("connection reset by peer")
		})
	})

	// Failure: a request goes to an upstream that has lost the key. The host was suspended while it connected, and its
	// lease has ended since.
	It("is not sent if the lease has ended once the connection is established", func() {
		host := newTestHost()
		sent := false
		host.send(context.Background(), func(ctx context.Context, _ *http.Request) (conns.Progress, error) {
			host.clock.advance(2 * time.Hour)
			sent = mayWrite(ctx)
			return conns.NotSent, errors.New("not sent")
		})
		Expect(sent).To(BeFalse())
	})

	It("releases its partition at once if it was never sent", func() {
		host := newTestHost()
		ctx, cancel := context.WithCancel(context.Background())
		host.send(ctx, func(ctx context.Context, _ *http.Request) (conns.Progress, error) {
			cancel()
			<-ctx.Done()
			return conns.NotSent, errors.New("no connection")
		})
		Expect(host.replaceGrant(2)).To(BeEmpty())
	})

	// Failure: two writes to a key run on two upstreams at once. While the first runs, an operator removes the service
	// from the settings and adds it again. With a new view the host would report no requests in flight, and accept grants
	// of keepers that were replaced long ago.
	DescribeTable("keeps its partition across a change of settings", func(change func(host *testHost)) {
		host := newTestHost()
		host.send(context.Background(), func(context.Context, *http.Request) (conns.Progress, error) {
			change(host)
			Expect(host.replaceGrant(2)).To(ConsistOf(partition))
			return conns.Sent, errors.New("connection reset by peer")
		})
		Expect(host.replaceGrant(3)).To(BeEmpty())
		late, _ := host.fleet.GrantOrQueryView(false, cherrykeel.Grant{Service: service, Incarnation: incarnation, Fence: cherrykeel.Fence{Term: 1, Sequence: 1}})
		Expect(late.Accepted).To(BeFalse())
	},
		Entry("that removes the service and adds it again", func(host *testHost) {
			host.removeService()
			host.addService(partitions)
		}),
		Entry("that changes the number of partitions", func(host *testHost) { host.addService(partitionsAfterChange) }),
	)
})
