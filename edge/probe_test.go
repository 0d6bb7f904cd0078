package edge_test

import (
	"context"
	"net/http"
	"net/http/httptest"
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

// senderByAddress is a Sender that calls a function with the upstream's address and fails each request.
type senderByAddress func(ctx context.Context, address string) (conns.Progress, error)

func (byAddress senderByAddress) SendIfReady(ctx context.Context, address string, _ *http.Request, _ func() bool) (*conns.Answer, conns.Progress, error) {
	progress, err := byAddress(ctx, address)
	return nil, progress, err
}

var _ = Describe("an upstream that failed and gets a probe", func() {
	const (
		failing      = "a:1"
		requestCount = 60
	)

	// Failure: an upstream never gets requests again, because the caller of its probe disconnected and the probe was
	// counted as still outstanding.
	It("gets another probe if the probe's caller disconnects", func() {
		clock := &manualClock{}
		clock.advance(time.Hour)
		fleet := edge.NewFleet("zone", incarnation, clock, picker.NewLeastLoaded(), clock, func(string, int) {})
		fleet.Update(map[string]*cherrykeel.Service{service: {
			Path: service, Slots: 4, QueueLength: 4, Timeout: requestTimeout,
			Upstreams: []cherrykeel.UpstreamServer{{Name: "a", Address: failing, Zone: "zone"}, {Name: "b", Address: "b:1", Zone: "zone"}},
		}}, 1)
		attempts := 0
		fails := true
		send := func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			sender := senderByAddress(func(ctx context.Context, address string) (conns.Progress, error) {
				if address == failing {
					attempts++
				}
				if address == failing && fails {
					return conns.Sent, errors.New("connection reset by peer")
				}
				cancel()
				<-ctx.Done()
				return conns.Sent, errors.New("the host closed the connection")
			})
			exchange := &cherrykeel.Exchange{
				ID: "request", Request: httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx), Writer: httptest.NewRecorder(),
				Service:  &cherrykeel.Service{Path: service, Timeout: requestTimeout},
				Arrived:  clock.Now(),
				Deadline: clock.Now().Add(requestTimeout),
			}
			denials := deny.New(deny.Settings{Clock: clock, Logger: zap.NewNop()})
			Expect(edge.NewForward(fleet, sender, denials, clock, zap.NewNop()).Serve(exchange, nil)).NotTo(BeNil())
		}
		for range requestCount {
			send()
		}
		Expect(attempts).To(Equal(3), "it is skipped after three failures")
		fails = false
		clock.advance(time.Minute)
		for range requestCount {
			send()
		}
		Expect(attempts).To(BeNumerically(">", 4))
	})
})
