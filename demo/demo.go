package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-resty/resty/v2"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/host"
)

// trafficPause is the pause after each round of requests.
const trafficPause = 100 * time.Millisecond

// request is a kind of request that the demo sends.
type request struct {
	domain string
	method string
	// path is a format with one integer, so that requests have different keys.
	path string
}

var traffic = []request{
	{domain: "hanbit.example", method: "GET", path: "/availability/hall-%d"},
	{domain: "hanbit.example", method: "POST", path: "/holds/hall-%d"},
	{domain: "hanbit.example", method: "POST", path: "/deposits/booking-%d"},
	{domain: "hanbit.example", method: "GET", path: "/archive/%d"},
	{domain: "huon.example", method: "GET", path: "/status/licence-%d"},
	{domain: "huon.example", method: "POST", path: "/fees/licence-%d"},
	{domain: "huon.example", method: "POST", path: "/lodgement/licence-%d"},
	{domain: "huon.example", method: "GET", path: "/search/street-%d"},
}

// Run starts the system, prints some answers and hints to writer, and sends traffic until ctx ends or duration is over;
// duration 0 has no limit. The host then shuts down gracefully.
func Run(ctx context.Context, writer io.Writer, duration time.Duration) error {
	if duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	world, err := NewWorld(func(*fakes.UpstreamOptions) {})
	if err != nil {
		return err
	}
	defer world.Close()
	entry := host.New(world.Config("demo-1", "seoul-a"))
	err = entry.Listen()
	if err != nil {
		return err
	}
	hostCtx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- entry.Run(hostCtx) }()
	err = showSystem(ctx, writer, world, entry)
	stop()
	_, _ = fmt.Fprintln(writer, "stopping without cutting a request")
	hostErr := <-ended
	if err != nil {
		return err
	}
	return hostErr
}

// showSystem publishes the example trees, waits for owners, prints one answer for each kind of request, and sends traffic
// until the context ends.
func showSystem(ctx context.Context, writer io.Writer, world *World, entry *host.Host) error {
	publication, err := world.Publish(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(writer, "both trees are published as version %d, %d upstreams are running\n", publication.Version, len(world.Upstreams))
	err = AwaitOwners(ctx, entry)
	if err != nil {
		return err
	}
	caller := resty.New().SetBaseURL("http://" + entry.Address())
	for _, request := range traffic {
		printResponse(ctx, writer, caller, request, 7)
	}
	printHints(writer, world, entry)
	sendTraffic(ctx, caller)
	return nil
}

func printResponse(ctx context.Context, writer io.Writer, caller *resty.Client, request request, number int) {
	path := fmt.Sprintf(request.path, number)
	response, err := sendRequest(ctx, caller, request, path)
	if err != nil {
		_, _ = fmt.Fprintf(writer, "%-4s %s%s: %v\n", request.method, request.domain, path, err)
		return
	}
	_, _ = fmt.Fprintf(writer, "%-4s %s%s -> %s: %s\n", request.method, request.domain, path, response.Status(), response.String())
}

// sendRequest sends a request with the given path. Each POST gets an idempotency key of its own.
func sendRequest(ctx context.Context, caller *resty.Client, request request, path string) (*resty.Response, error) {
	outgoing := caller.R().SetContext(ctx).SetHeader("Host", request.domain)
	if request.method == "POST" {
		outgoing.SetHeader(cherrykeel.HeaderIdempotencyKey, fmt.Sprintf("demo-%s-%d", path, time.Now().UnixNano()))
		outgoing.SetBody("demo")
	}
	return outgoing.Execute(request.method, path)
}

func printHints(writer io.Writer, world *World, entry *host.Host) {
	_, _ = fmt.Fprintf(writer, `
A little traffic goes on until Ctrl-C. In another terminal, try:
  export CHERRYKEEL_LOG=%s CHERRYKEEL_HOSTS=%s
  cherrykeel status
  cherrykeel owner hanbit/availability hall-7
  cherrykeel explain hanbit/holds Timeout
  cherrykeel history
  curl -H 'Host: hanbit.example' http://%s/availability/hall-7
  curl http://%s/metrics
`, world.Log, world.Hosts, entry.Address(), entry.AdminAddress())
}

// sendTraffic sends one request of each kind per round until the context ends.
func sendTraffic(ctx context.Context, caller *resty.Client) {
	for number := 0; ctx.Err() == nil; number++ {
		for _, request := range traffic {
			_, _ = sendRequest(ctx, caller, request, fmt.Sprintf(request.path, number%100))
		}
		select {
		case <-time.After(trafficPause):
		case <-ctx.Done():
		}
	}
}
