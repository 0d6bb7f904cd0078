package relay

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/flow"
)

const (
	// probePatience is how long an answer is waited for: upstreams answer at once, and the way there and back takes 1 to 3 ms.
	probePatience = 25 * time.Millisecond
	// probeBytes bounds what is read of an answer's body.
	probeBytes = 4 << 10
)

// probed asks the upstream of a verdict's place for its load, and the next one while the scheduler prefers another.
func (trip *trip) probed(ctx context.Context, verdict flow.Verdict) (flow.Verdict, *cherrykeel.Failure) {
	for trip.lane.wantsProbe(trip.ticket, verdict.Place, trip.relay.clock.Now()) {
		load := trip.probe(ctx, verdict.Place.Upstream)
		verdict = trip.lane.probed(trip.ticket, verdict.Place, load, trip.relay.clock.Now())
		trip.inputs = verdict.Inputs
		if verdict.Place == nil {
			return verdict, trip.refuse(string(verdict.Reason), "no upstream that was asked can answer in time")
		}
	}
	return verdict, nil
}

// probe asks an upstream for its load; it tells none if it does not answer in time. What is no answer of the health path
// belongs to another request, and its connection is not used again.
func (trip *trip) probe(ctx context.Context, upstream cherrykeel.Upstream) cherrykeel.UpstreamLoad {
	ctx, cancel := context.WithTimeout(ctx, probePatience)
	defer cancel()
	request := &http.Request{
		Method: http.MethodGet, Host: upstream.Address, URL: &url.URL{Opaque: trip.lane.health()},
		Header: http.Header{"User-Agent": {""}},
	}
	answer, _, err := trip.relay.pool.SendWith(ctx, upstream.Address, request, conns.Care{MaxIdle: usualIdle})
	if err != nil {
		return cherrykeel.UpstreamLoad{}
	}
	defer answer.Close()
	reply := trip.relay.dialect.Reply(answer.Status, answer.Header)
	_, err = io.Copy(io.Discard, io.LimitReader(answer, probeBytes))
	if err != nil || reply.ID != "" || reply.Instance != upstream.ID {
		answer.Spoil()
		return cherrykeel.UpstreamLoad{}
	}
	return reply.Load
}
