package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/demo"
	"cherrykeel/fakes"
	"cherrykeel/host"
	"cherrykeel/naive"
)

const (
	// processingTime is the processing time of a request on a healthy upstream.
	processingTime = 20 * time.Millisecond
	// hostCount is the number of entry hosts, which are spread over the availability zones.
	hostCount = 4
	// zones is the number of availability zones.
	zones = 4
	// warmUpLoad is the load, relative to capacity, before results count.
	warmUpLoad = 0.3
	// warmUpTime is the length of the warm-up.
	warmUpTime = 2 * time.Second
)

// Condition is the fault of the upstreams while they are under load.
type Condition string

// The conditions of Overload.
const (
	// Healthy has no fault.
	Healthy Condition = "healthy"
	// OneSlow lets one upstream take six times the usual processing time.
	OneSlow Condition = "one slow upstream"
	// OneMisreporting lets one upstream report that it is idle while it sheds most requests.
	OneMisreporting Condition = "one lying upstream"
)

// Conditions lists all conditions, in the order in which they are measured.
var Conditions = []Condition{Healthy, OneSlow, OneMisreporting}

// OverloadRow has the results of one load under one condition.
type OverloadRow struct {
	// Condition is the fault of the upstreams.
	Condition Condition
	// Version is ThroughHosts or Naive.
	Version string
	// Load is the rate of requests, divided by the capacity of the upstreams.
	Load float64
	// Goodput is the rate of requests answered with 200 before the load ended, divided by the capacity.
	Goodput float64
	// LookupMedian and LookupP99 are latencies of answered requests of high priority.
	LookupMedian, LookupP99 time.Duration
	// SearchMedian and SearchP99 are latencies of answered requests of low priority.
	SearchMedian, SearchP99 time.Duration
	// MostAtOnce is the largest number of requests that one upstream held at the same time, running or waiting.
	MostAtOnce int
}

// tally counts the successful requests of callers and records their latencies.
type tally struct {
	// endsAt is the end of the load; later answers are ignored.
	endsAt time.Time
	good   atomic.Int64
	// mutex guards the histograms.
	mutex    sync.Mutex
	lookups  *hdrhistogram.Histogram
	searches *hdrhistogram.Histogram
}

// newTally returns an empty tally for a load that ends at the given time.
func newTally(endsAt time.Time) *tally {
	return &tally{
		endsAt:   endsAt,
		lookups:  hdrhistogram.New(1, int64(maxLatency), significantDigits),
		searches: hdrhistogram.New(1, int64(maxLatency), significantDigits),
	}
}

// add counts an answer that arrived before the end of the load.
func (tally *tally) add(lookup bool, latency time.Duration) {
	if time.Now().After(tally.endsAt) {
		return
	}
	tally.good.Add(1)
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	if lookup {
		_ = tally.lookups.RecordValue(int64(latency))
		return
	}
	_ = tally.searches.RecordValue(int64(latency))
}

// setup is a world whose archive service is put under load, by lookups, which have high priority, and searches, which
// have low priority.
type setup struct {
	world   *demo.World
	entries []*host.Host
	stop    func()
	client  *http.Client
	// slots is the number of slots per upstream.
	slots int
	// servers is the number of upstreams of the service.
	servers int
}

// The versions that Overload compares.
const (
	// ThroughHosts sends requests through the entry hosts.
	ThroughHosts = "ours"
	// Naive sends requests directly to upstreams in round-robin order and retries any failure at once.
	Naive = "round robin, blind retry"
)

// newSetup creates a world, starts its hosts and waits until keys have owners.
func newSetup(ctx context.Context) (*setup, error) {
	world, err := demo.NewWorld(func(options *fakes.UpstreamOptions) { options.Work = processingTime })
	if err != nil {
		return nil, err
	}
	setup := &setup{world: world, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}, slots: 3, servers: 8}
	for i := range hostCount {
		setup.entries = append(setup.entries, host.New(world.Config(fmt.Sprintf("bench-%d", i+1), fmt.Sprintf("seoul-%c", 'a'+i%zones))))
	}
	setup.stop, err = runHosts(ctx, world, setup.entries...)
	if err != nil {
		world.Close()
		return nil, err
	}
	return setup, nil
}

// close stops the hosts and closes the world.
func (setup *setup) close() {
	setup.client.CloseIdleConnections()
	setup.stop()
	setup.world.Close()
}

// capacity returns the number of requests per second that the service's healthy upstreams can answer.
func (setup *setup) capacity() float64 {
	return float64(setup.servers*setup.slots) / processingTime.Seconds()
}

// Overload measures each load under a condition for the given length, first with requests sent through hosts, then with
// the naive version. Loads are relative to the capacity of the upstreams.
func Overload(ctx context.Context, condition Condition, loads []float64, length time.Duration) ([]OverloadRow, error) {
	setup, err := newSetup(ctx)
	if err != nil {
		return nil, err
	}
	defer setup.close()
	// Hosts that have just started have neither their shares of slots nor estimates of processing times.
	setup.offer(warmUpLoad, ThroughHosts, warmUpTime)
	var rows []OverloadRow
	for _, load := range loads {
		for _, version := range []string{ThroughHosts, Naive} {
			setup.setCondition(condition)
			row := setup.offer(load, version, length)
			row.Condition = condition
			rows = append(rows, row)
			setup.setCondition(Healthy)
			time.Sleep(time.Second)
		}
	}
	return rows, nil
}

// setCondition injects the condition's fault into the upstreams whose names end with "-01", and clears the faults of all
// others.
func (setup *setup) setCondition(condition Condition) {
	for name, upstream := range setup.world.Upstreams {
		faults := fakes.UpstreamFaults{Load: -1}
		affected := strings.HasSuffix(name, "-01")
		if affected && condition == OneSlow {
			faults.Work = 5 * processingTime
		}
		if affected && condition == OneMisreporting {
			// The upstream reports that it is idle and sheds most requests.
			faults.Load = 0
			faults.Shed = 0.8
		}
		upstream.SetFaults(faults)
	}
}

// offer sends requests at a constant rate, independent of answers to earlier ones, and returns the results.
func (setup *setup) offer(load float64, version string, length time.Duration) OverloadRow {
	setup.mostAtOnce()
	roundRobin := naive.NewRoundRobin()
	var roundRobinMutex sync.Mutex
	rate := load * setup.capacity()
	interval := time.Duration(float64(time.Second) / rate)
	begun := time.Now()
	total := newTally(begun.Add(length))
	var running sync.WaitGroup
	for number := 0; time.Since(begun) < length; number++ {
		due := begun.Add(time.Duration(number) * interval)
		time.Sleep(time.Until(due))
		running.Go(func() {
			if version == Naive {
				roundRobinMutex.Lock()
				turn := roundRobin.Pick("", nil, 0)
				roundRobinMutex.Unlock()
				setup.sendNaive(total, number+turn)
				return
			}
			setup.send(total, number)
		})
	}
	running.Wait()
	return OverloadRow{
		Version: version, Load: load,
		MostAtOnce:   setup.mostAtOnce(),
		Goodput:      float64(total.good.Load()) / length.Seconds() / setup.capacity(),
		LookupMedian: time.Duration(total.lookups.ValueAtQuantile(50)),
		LookupP99:    time.Duration(total.lookups.ValueAtQuantile(99)),
		SearchMedian: time.Duration(total.searches.ValueAtQuantile(50)),
		SearchP99:    time.Duration(total.searches.ValueAtQuantile(99)),
	}
}

// requestTimeout is how long callers wait for an answer.
const requestTimeout = 3 * time.Second

// lookupEvery is the interval of lookups: each fifth request is a lookup, the others are searches.
const lookupEvery = 5

// isLookup reports whether the request of this number is a lookup.
func isLookup(number int) bool {
	return number%lookupEvery == 0
}

// send sends a request through a random host.
func (setup *setup) send(total *tally, number int) {
	entry := setup.entries[rand.IntN(len(setup.entries))]
	begun := time.Now()
	err := setup.sendRequest("http://"+entry.Address(), number)
	if err == nil {
		total.add(isLookup(number), time.Since(begun))
	}
}

// sendNaive sends a request directly to upstreams in round-robin order, with up to three attempts on any failure.
func (setup *setup) sendNaive(total *tally, number int) {
	begun := time.Now()
	for attempt := range 3 {
		name := fmt.Sprintf("archive-%02d", (number+attempt)%setup.servers+1)
		err := setup.sendRequest("http://"+setup.world.Addresses[name], number)
		if err == nil {
			total.add(isLookup(number), time.Since(begun))
			return
		}
	}
}

// sendRequest sends a request with its priority and timeout. Any status other than 200 is an error.
func (setup *setup) sendRequest(base string, number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	outgoing, err := request(base, number)
	if err != nil {
		return err
	}
	outgoing.Header.Set(cherrykeel.HeaderPriority, "u=7")
	if isLookup(number) {
		outgoing.Header.Set(cherrykeel.HeaderPriority, "u=0")
	}
	outgoing.Header.Set(cherrykeel.HeaderTimeout, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	response, err := setup.client.Do(outgoing.WithContext(ctx))
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		return errors.Errorf("status %s", response.Status)
	}
	return nil
}

// mostAtOnce returns the largest number of requests that one upstream of the service held at the same time since the last
// call.
func (setup *setup) mostAtOnce() int {
	most := 0
	for name, upstream := range setup.world.Upstreams {
		if strings.HasPrefix(name, "archive") {
			most = max(most, upstream.MostAtOnce())
		}
	}
	return most
}
