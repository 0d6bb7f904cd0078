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
	work      = 20 * time.Millisecond
	loadHosts = 4
	zones     = 4
	warmLoad  = 0.3
	warmTime  = 2 * time.Second
)

// Condition is what is wrong with the upstreams while load is put on them.
type Condition string

// The conditions that Overload knows.
const (
	Healthy  Condition = "healthy"
	OneSlow  Condition = "one slow upstream"
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
	// ends is when the load ends; answers after it count for nothing.
	ends     time.Time
	good     atomic.Int64
	mutex    sync.Mutex
	lookups  *hdrhistogram.Histogram
	searches *hdrhistogram.Histogram
}

func newTally(ends time.Time) *tally {
	return &tally{
		ends:     ends,
		lookups:  hdrhistogram.New(1, int64(maxLatency), digits),
		searches: hdrhistogram.New(1, int64(maxLatency), digits),
	}
}

func (tally *tally) add(lookup bool, took time.Duration) {
	if time.Now().After(tally.ends) {
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

// arena is a world under load on one service's upstreams, from lookups, which are urgent, and searches.
type arena struct {
	world   *demo.World
	entries []*host.Host
	stop    func()
	client  *http.Client
	slots   int
	servers int
}

// Ours and Naive name the versions that Overload compares.
const (
	ThroughHosts  = "ours"
	Naive = "round robin, blind retry"
)

func newArena(ctx context.Context) (*arena, error) {
	world, err := demo.NewWorld(func(options *fakes.UpstreamOptions) { options.Work = work })
	if err != nil {
		return nil, err
	}
	arena := &arena{world: world, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}, slots: 3, servers: 8}
	for i := range loadHosts {
		arena.entries = append(arena.entries, host.New(world.Config(fmt.Sprintf("bench-%d", i+1), fmt.Sprintf("seoul-%c", 'a'+i%zones))))
	}
	arena.stop, err = runHosts(ctx, world, arena.entries...)
	if err != nil {
		world.Close()
		return nil, err
	}
	return arena, nil
}

func (arena *arena) close() {
	arena.client.CloseIdleConnections()
	arena.stop()
	arena.world.Close()
}

// capacity is how many requests a second one service's upstreams can answer.
func (arena *arena) capacity() float64 {
	return float64(arena.servers*arena.slots) / work.Seconds()
}

// Overload puts each load on the system for a time, ours and the naive version.
func Overload(ctx context.Context, condition Condition, loads []float64, length time.Duration) ([]OverloadRow, error) {
	arena, err := newArena(ctx)
	if err != nil {
		return nil, err
	}
	defer arena.close()
	// Hosts that have just started know neither shares of slots nor how long requests take.
	arena.offer(warmLoad, ThroughHosts, warmTime)
	var rows []OverloadRow
	for _, load := range loads {
		for _, version := range []string{ThroughHosts, Naive} {
			arena.setCondition(condition)
			row := arena.offer(load, version, length)
			row.Condition = condition
			rows = append(rows, row)
			arena.setCondition(Healthy)
			time.Sleep(time.Second)
		}
	}
	return rows, nil
}

func (arena *arena) setCondition(condition Condition) {
	for name, upstream := range arena.world.Upstreams {
		faults := fakes.UpstreamFaults{Load: -1}
		chosen := strings.HasSuffix(name, "-01")
		if chosen && condition == OneSlow {
			faults.Work = 5 * work
		}
		if chosen && condition == OneMisreporting {
			// It claims to be idle and sheds most of what it gets.
			faults.Load = 0
			faults.Shed = 0.8
		}
		upstream.SetFaults(faults)
	}
}

// offer sends requests at a steady rate, whether or not earlier ones have been answered.
func (arena *arena) offer(load float64, version string, length time.Duration) OverloadRow {
	arena.mostAtOnce()
	robin := naive.NewRoundRobin()
	var robinMutex sync.Mutex
	rate := load * arena.capacity()
	pause := time.Duration(float64(time.Second) / rate)
	begun := time.Now()
	total := newTally(begun.Add(length))
	var running sync.WaitGroup
	for number := 0; time.Since(begun) < length; number++ {
		due := begun.Add(time.Duration(number) * pause)
		time.Sleep(time.Until(due))
		running.Go(func() {
			if version == Naive {
				robinMutex.Lock()
				turn := robin.Pick("", nil, 0)
				robinMutex.Unlock()
				arena.sendNaive(total, number+turn)
				return
			}
			arena.send(total, number)
		})
	}
	running.Wait()
	return OverloadRow{
		Version: version, Load: load,
		MostAtOnce:   arena.mostAtOnce(),
		Goodput:      float64(total.good.Load()) / length.Seconds() / arena.capacity(),
		LookupMedian: time.Duration(total.lookups.ValueAtQuantile(50)),
		LookupP99:    time.Duration(total.lookups.ValueAtQuantile(99)),
		SearchMedian: time.Duration(total.searches.ValueAtQuantile(50)),
		SearchP99:    time.Duration(total.searches.ValueAtQuantile(99)),
	}
}

// patience is how long callers wait for an answer.
const patience = 3 * time.Second

// lookupEvery is how often a request is a lookup; the others are searches.
const lookupEvery = 5

func lookup(number int) bool {
	return number%lookupEvery == 0
}

func (arena *arena) send(total *tally, number int) {
	entry := arena.entries[rand.IntN(len(arena.entries))]
	begun := time.Now()
	err := arena.ask("http://"+entry.Address(), number)
	if err == nil {
		total.add(lookup(number), time.Since(begun))
	}
}

// sendNaive goes round the upstreams itself and tries three times, whatever the answer.
func (arena *arena) sendNaive(total *tally, number int) {
	begun := time.Now()
	for attempt := range 3 {
		name := fmt.Sprintf("archive-%02d", (number+attempt)%arena.servers+1)
		err := arena.ask("http://"+arena.world.Addresses[name], number)
		if err == nil {
			total.add(lookup(number), time.Since(begun))
			return
		}
	}
}

func (arena *arena) ask(base string, number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	outgoing, err := request(base, number)
	if err != nil {
		return err
	}
	outgoing.Header.Set(cherrykeel.HeaderPriority, "u=7")
	if lookup(number) {
		outgoing.Header.Set(cherrykeel.HeaderPriority, "u=0")
	}
	outgoing.Header.Set(cherrykeel.HeaderTimeout, strconv.FormatInt(patience.Milliseconds(), 10))
	response, err := arena.client.Do(outgoing.WithContext(ctx))
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
func (arena *arena) mostAtOnce() int {
	most := 0
	for name, upstream := range arena.world.Upstreams {
		if strings.HasPrefix(name, "archive") {
			most = max(most, upstream.MostAtOnce())
		}
	}
	return most
}
