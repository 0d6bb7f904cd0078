package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/demo"
	"cherrykeel/fakes"
	"cherrykeel/host"
)

const (
	// maxLatency is the longest latency that histograms can record.
	maxLatency = time.Minute
	// significantDigits is the precision of histograms.
	significantDigits = 3
	// manySlots is the number of slots per upstream; fewer callers than that do not wait for slots.
	manySlots = 512
)

// LatencyRow has the results of one way of calling.
type LatencyRow struct {
	// Way describes the way of calling.
	Way string
	// Callers is the number of concurrent callers.
	Callers int
	// PerSecond is the rate of answers.
	PerSecond float64
	// Median is the median latency.
	Median time.Duration
	// P99 is the 99th percentile of latencies.
	P99 time.Duration
}

// Latency measures calls of a keyed service, alternately directly to one of its stand-ins and through one host. Each way
// is measured twice, for the given length each time.
func Latency(ctx context.Context, callers int, length time.Duration) ([]LatencyRow, error) {
	world, err := demo.NewWorld(func(options *fakes.UpstreamOptions) {
		options.Slots = manySlots
		options.QueueLength = manySlots
	})
	if err != nil {
		return nil, err
	}
	defer world.Close()
	raiseLimits(world)
	entry := host.New(world.Config("bench-1", "seoul-a"))
	stop, err := runHosts(ctx, world, entry)
	if err != nil {
		return nil, err
	}
	defer stop()
	through := func(number int) (*http.Request, error) {
		return request("http://"+entry.Address(), number)
	}
	address := world.Addresses["archive-01"]
	direct := func(number int) (*http.Request, error) {
		return request("http://"+address, number)
	}
	var rows []LatencyRow
	for _, way := range []struct {
		name string
		make func(number int) (*http.Request, error)
	}{{"direct", direct}, {"through one host", through}, {"direct, again", direct}, {"through, again", through}} {
		row, err := measureLoad(way.make, callers, length)
		if err != nil {
			return nil, err
		}
		row.Way = way.name
		rows = append(rows, row)
	}
	return rows, nil
}

// raiseLimits raises the slots and connections in the settings of the teams under load, so that results do not include
// waiting for them.
func raiseLimits(world *demo.World) {
	for path, node := range world.Nodes {
		if path == "hanbit" || path == "huon" {
			node.Fields["Slots"] = int64(manySlots)
			node.Fields["Connections"] = int64(2 * manySlots)
		}
	}
}

// request returns a GET request to the archive service for one item, at the given base URL.
func request(base string, number int) (*http.Request, error) {
	outgoing, err := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/archive/%d", base, number), nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	outgoing.Host = "hanbit.example"
	outgoing.Header.Set(cherrykeel.HeaderRequest, "bench")
	return outgoing, nil
}

// runHosts starts the hosts, publishes the world's settings and waits until keys have owners. The returned function stops
// the hosts and waits for them.
func runHosts(ctx context.Context, world *demo.World, entries ...*host.Host) (func(), error) {
	running, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	stop := func() {
		cancel()
		ended.Wait()
	}
	for _, entry := range entries {
		err := entry.Listen()
		if err != nil {
			stop()
			return nil, err
		}
		ended.Go(func() { _ = entry.Run(running) })
	}
	_, err := world.Publish(ctx)
	if err == nil {
		err = demo.AwaitOwners(ctx, entries...)
	}
	if err != nil {
		stop()
		return nil, err
	}
	return stop, nil
}

// measureLoad lets concurrent callers send requests one after another for the given length, and returns rate and
// latencies. A failure ends its caller; if any caller failed, measureLoad returns one of the errors.
func measureLoad(next func(number int) (*http.Request, error), callers int, length time.Duration) (LatencyRow, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var failed atomic.Pointer[error]
	var running sync.WaitGroup
	histograms := make([]*hdrhistogram.Histogram, callers)
	begun := time.Now()
	for caller := range callers {
		histogram := hdrhistogram.New(1, int64(maxLatency), significantDigits)
		histograms[caller] = histogram
		running.Go(func() {
			for number := caller; time.Since(begun) < length; number += callers {
				err := timeRequest(client, next, number, histogram)
				if err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	running.Wait()
	if err := failed.Load(); err != nil {
		return LatencyRow{}, *err
	}
	total := hdrhistogram.New(1, int64(maxLatency), significantDigits)
	for _, histogram := range histograms {
		total.Merge(histogram)
	}
	return LatencyRow{
		Callers:   callers,
		PerSecond: float64(total.TotalCount()) / time.Since(begun).Seconds(),
		Median:    time.Duration(total.ValueAtQuantile(50)),
		P99:       time.Duration(total.ValueAtQuantile(99)),
	}, nil
}

// timeRequest sends one request, reads its answer and records the latency. Any status other than 200 is an error.
func timeRequest(client *http.Client, next func(number int) (*http.Request, error), number int, histogram *hdrhistogram.Histogram) error {
	outgoing, err := next(number)
	if err != nil {
		return err
	}
	begun := time.Now()
	response, err := client.Do(outgoing)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		return errors.Errorf("status %s: %v", response.Status, err)
	}
	return errors.WithStack(histogram.RecordValue(int64(time.Since(begun))))
}
