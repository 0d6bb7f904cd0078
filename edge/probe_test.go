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

// addressed hands each request to a function by its upstream's address.
type addressed func(ctx context.Context, address string) (conns.Progress, error)

func (addressed addressed) SendIfReady(ctx context.Context, address string, _ *http.Request, _ func() bool) (*conns.Answer, conns.Progress, error) {
	progress, err := addressed(ctx, address)
	return nil, progress, err
}

var _ = Describe("an upstream that has failed and is tried again", func() {
	const (
		failing = "a:1"
		enough  = 60
	)

	// Guards against an upstream that gets nothing any more since the caller left whose request was to show whether it is
	// back.
	It("is tried once more if that request's caller goes away", func() {
		clock := &hand{}
		clock.advance(time.Hour)
		fleet := edge.NewFleet("zone", boot, clock, picker.NewLeastLoaded(), clock, func(string, int) {})
		fleet.Update(map[string]*cherrykeel.Service{service: {
			Path: service, Slots: 4, QueueLength: 4, Timeout: requestTimeout,
			Upstreams: []cherrykeel.UpstreamServer{{Name: "a", Address: failing, Zone: "zone"}, {Name: "b", Address: "b:1", Zone: "zone"}},
		}}, 1)
		asked := 0
		fails := true
		send := func() {
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			sender := addressed(func(ctx context.Context, address string) (conns.Progress, error) {
				if address == failing {
					asked++
				}
				if address == failing && fails {
					return conns.Sent, errors.New("connection reset by peer")
				}
				leave()
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
		for range enough {
			send()
		}
		Expect(asked).To(Equal(3), "it is passed over then")
		fails = false
		clock.advance(time.Minute)
		for range enough {
			send()
		}
		Expect(asked).To(BeNumerically(">", 4))
	})
})
