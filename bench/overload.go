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
	processingTime = 20 * time.Millisecond
	hostCount      = 4
	zones          = 4
	warmUpLoad     = 0.3
	warmUpTime     = 2 * time.Second
)

// Condition is what is wrong with the upstreams while load is put on them.
type Condition string

// The conditions that Overload knows.
const (
	Healthy         Condition = "healthy"
	OneSlow         Condition = "one slow upstream"
	OneMisreporting Condition = "one lying upstream"
)

// Conditions lists all.
var Conditions = []Condition{Healthy, OneSlow, OneMisreporting}

// OverloadRow is what one load gave.
type OverloadRow struct {
	Condition Condition
	Version   string
	// Load is the offered load, over the capacity of the upstreams.
	Load float64
	// Goodput is the rate of answers in time, over the capacity.
	Goodput float64
	// Lookups and Searches have the latencies of answered requests of high and low priority.
	LookupMedian, LookupP99 time.Duration
	SearchMedian, SearchP99 time.Duration
	// MostAtOnce is the most requests that one upstream worked on or held at a time.
	MostAtOnce int
}

// tally counts what callers got.
type tally struct {
	// endsAt is when the load ends; answers after it count for nothing.
	endsAt   time.Time
	good     atomic.Int64
	mutex    sync.Mutex
	lookups  *hdrhistogram.Histogram
	searches *hdrhistogram.Histogram
}

func newTally(ends time.Time) *tally {
	return &tally{
		endsAt:   ends,
		lookups:  hdrhistogram.New(1, int64(maxLatency), significantDigits),
		searches: hdrhistogram.New(1, int64(maxLatency), significantDigits),
	}
}

func (tally *tally) add(lookup bool, took time.Duration) {
	if time.Now().After(tally.endsAt) {
		return
	}
	tally.good.Add(1)
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	if lookup {
		_ = tally.lookups.RecordValue(int64(took))
		return
	}
	_ = tally.searches.RecordValue(int64(took))
}

// setup is a world under load on one service's upstreams, from lookups, which are urgent, and searches.
type setup struct {
	world   *demo.World
	entries []*host.Host
	stop    func()
	client  *http.Client
	slots   int
	servers int
}

// Ours and Naive name the versions that Overload compares.
const (
	ThroughHosts = "ours"
	Naive        = "round robin, blind retry"
)

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

func (setup *setup) close() {
	setup.client.CloseIdleConnections()
	setup.stop()
	setup.world.Close()
}

// capacity is how many requests a second one service's upstreams can answer.
func (setup *setup) capacity() float64 {
	return float64(setup.servers*setup.slots) / processingTime.Seconds()
}

// Overload puts each load on the system for a time, ours and the naive version.
func Overload(ctx context.Context, condition Condition, loads []float64, length time.Duration) ([]OverloadRow, error) {
	setup, err := newSetup(ctx)
	if err != nil {
		return nil, err
	}
	defer setup.close()
	// Hosts that have just started know neither shares of slots nor how long requests take.
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

func (setup *setup) setCondition(condition Condition) {
	for name, upstream := range setup.world.Upstreams {
		faults := fakes.UpstreamFaults{Load: -1}
		affected := strings.HasSuffix(name, "-01")
		if affected && condition == OneSlow {
			faults.Work = 5 * processingTime
		}
		if affected && condition == OneMisreporting {
			// It claims to be idle and sheds most of what it gets.
			faults.Load = 0
			faults.Shed = 0.8
		}
		upstream.SetFaults(faults)
	}
}

// offer sends requests at a steady rate, whether or not earlier ones have been answered.
func (setup *setup) offer(load float64, version string, length time.Duration) OverloadRow {
	setup.mostAtOnce()
	roundRobin := naive.NewRoundRobin()
	var roundRobinMutex sync.Mutex
	rate := load * setup.capacity()
	pause := time.Duration(float64(time.Second) / rate)
	begun := time.Now()
	total := newTally(begun.Add(length))
	var running sync.WaitGroup
	for number := 0; time.Since(begun) < length; number++ {
		due := begun.Add(time.Duration(number) * pause)
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

// lookupEvery is how often a request is a lookup; the others are searches.
const lookupEvery = 5

func isLookup(number int) bool {
	return number%lookupEvery == 0
}

func (setup *setup) send(total *tally, number int) {
	entry := setup.entries[rand.IntN(len(setup.entries))]
	begun := time.Now()
	err := setup.sendRequest("http://"+entry.Address(), number)
	if err == nil {
		total.add(isLookup(number), time.Since(begun))
	}
}

// sendNaive goes round the upstreams itself and tries three times, whatever the answer.
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

// mostAtOnce is the most requests that one of the service's upstreams has held at a time since the last call.
func (setup *setup) mostAtOnce() int {
	most := 0
	for name, upstream := range setup.world.Upstreams {
		if strings.HasPrefix(name, "archive") {
			most = max(most, upstream.MostAtOnce())
		}
	}
	return most
}
