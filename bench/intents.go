package bench

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/demo"
	"cherrykeel/fakes"
	"cherrykeel/host"
	"cherrykeel/intent"
)

// IntentsRow is the cost of requests with or without a repeat guard.
type IntentsRow struct {
	LatencyRow
	// AppendsPerRequest is the number of records appended to the stream of intents per request, including those for the
	// ends of requests.
	AppendsPerRequest float64
	// AppendsPerSecond is the rate of these appends.
	AppendsPerSecond float64
}

// Intents measures requests that each have an own Idempotency-Key, sent through one host for the given length: first
// without a repeat guard, then with the guard that uses the log.
func Intents(ctx context.Context, callers int, length time.Duration) ([]IntentsRow, error) {
	var rows []IntentsRow
	for _, guard := range []cherrykeel.RepeatGuard{cherrykeel.RepeatGuardNone, cherrykeel.RepeatGuardLog} {
		row, err := intents(ctx, guard, callers, length)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// intents measures one kind of repeat guard.
func intents(ctx context.Context, guard cherrykeel.RepeatGuard, callers int, length time.Duration) (IntentsRow, error) {
	world, err := demo.NewWorld(func(options *fakes.UpstreamOptions) {
		options.Slots = manySlots
		options.QueueLength = manySlots
	})
	if err != nil {
		return IntentsRow{}, err
	}
	defer world.Close()
	raiseLimits(world)
	world.Nodes["huon/fees"].Fields["RepeatGuard"] = string(guard)
	entry := host.New(world.Config("bench-1", "hobart-a"))
	stop, err := runHosts(ctx, world, entry)
	if err != nil {
		return IntentsRow{}, err
	}
	defer stop()
	var keys atomic.Int64
	next := func(number int) (*http.Request, error) {
		outgoing, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/fees/%d", entry.Address(), number), strings.NewReader("150"))
		if err != nil {
			return nil, errors.WithStack(err)
		}
		outgoing.Host = "huon.example"
		outgoing.Header.Set(cherrykeel.HeaderIdempotencyKey, fmt.Sprint("fee-", keys.Add(1)))
		return outgoing, nil
	}
	latency, err := measureLoad(next, callers, length)
	if err != nil {
		return IntentsRow{}, err
	}
	latency.Way = "RepeatGuard = " + string(guard)
	appends := float64(world.Appends(intent.Stream))
	return IntentsRow{
		LatencyRow:        latency,
		AppendsPerRequest: appends / float64(keys.Load()),
		AppendsPerSecond:  appends / length.Seconds(),
	}, nil
}
