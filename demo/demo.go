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

const trafficPause = 100 * time.Millisecond

// request is one kind of traffic that the demo sends.
type request struct {
	domain string
	method string
	path   string
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

// Run shows the system at work until the context ends, or for a time if that is not 0.
func Run(ctx context.Context, writer io.Writer, limit time.Duration) error {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
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
	running, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- entry.Run(running) }()
	err = showSystem(ctx, writer, world, entry)
	stop()
	_, _ = fmt.Fprintln(writer, "stopping without cutting a request")
	stopped := <-ended
	if err != nil {
		return err
	}
	return stopped
}

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

// sendTraffic keeps a little traffic going until the context ends.
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
