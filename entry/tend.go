package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cherrykeel/events"
	"cherrykeel/share"
	"cherrykeel/watch"
)

const (
	// dispatchEvery is how often waiting requests are looked at when nothing else wakes them. While none
	// waits nobody looks: of some 170 timers a second on an idle host 100 were this one.
	dispatchEvery = 10 * time.Millisecond
	// readyEvery is how often a host that has started looks whether it knows enough.
	readyEvery  = 25 * time.Millisecond
	settleEvery = 250 * time.Millisecond
)

// tend does what time asks for.
func (host *Host) tend(ctx context.Context) {
	dispatch := time.NewTimer(dispatchEvery)
	defer dispatch.Stop()
	looking := true
	ready := time.NewTicker(readyEvery)
	defer ready.Stop()
	settle := time.NewTicker(settleEvery)
	defer settle.Stop()
	demand := time.NewTicker(share.DemandInterval())
	defer demand.Stop()
	drop := time.NewTicker(dropEvery)
	defer drop.Stop()
	begun := host.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-host.relay.QueuedSignal():
			if !looking {
				dispatch.Reset(dispatchEvery)
			}
			looking = true
		case <-dispatch.C:
			looking = host.relay.Dispatch()
			if looking {
				dispatch.Reset(dispatchEvery)
			}
		case <-ready.C:
			if host.noteReady() {
				ready.Stop()
			}
		case <-settle.C:
			host.upstreams.RemoveMissing()
			host.heard()
			host.countUnreadable()
			host.countUnused()
			// A host that has fallen silent is forgotten without a message.
			host.gather()
		case <-drop.C:
			host.dropSilent(ctx, host.clock.Now().Sub(begun))
			host.forgetDenied(ctx)
			// Connections that rest take up room at upstreams, which reset what is beyond theirs.
			host.conns.Sweep()
		case <-demand.C:
			table, _, known := host.spans.Current()
			if known {
				host.mesh.ReportDemand(table.Keeper, host.relay.ProcessingTimes)
			}
		}
	}
}

// noteReady makes the host ready once it knows routes, evacuated zones, upstreams and the requests to refuse, and reports
// whether it is.
func (host *Host) noteReady() bool {
	_, known := host.routes.Current()
	if !known || !host.topics.operator.HasAppliedSnapshot() || !host.topics.upstreams.HasAppliedSnapshot() || !host.knowsDenied() {
		return false
	}
	host.ready.Store(true)
	events.Log(host.logger, events.EntryReady, zap.Int("Upstreams", len(host.upstreams.Current())))
	return true
}

// countUnused shows how many upstreams get nothing, since their availability zone is evacuated, or only a part, since they
// are cold, and how many of this host's requests are still at work in evacuated zones.
func (host *Host) countUnused() {
	evacuated := host.zones.Evacuated()
	var closed []string
	for _, upstream := range host.usable.current() {
		if upstream.EvacuateAt != 0 {
			closed = append(closed, upstream.ID)
		}
	}
	atWork := 0
	if len(closed) > 0 {
		running := host.relay.OwnCounts().Running
		for _, id := range closed {
			atWork += running[id]
		}
	}
	host.scope.Gauge("evacuated_zones").Update(float64(len(evacuated)))
	host.scope.Gauge("evacuated_upstreams").Update(float64(len(closed)))
	host.scope.Gauge("evacuated_running").Update(float64(atWork))
	host.scope.Gauge("cold_upstreams").Update(float64(host.coldUpstreams()))
}

// countUnreadable shows how many records of other writers each topic has had.
func (host *Host) countUnreadable() {
	for name, topic := range map[string]*watch.Follower{
		topicSettings: host.topics.operator, topicUpstreams: host.topics.upstreams, topicHosts: host.topics.hosts, topicSpans: host.topics.spans,
	} {
		count := topic.UnreadableCount()
		if name == topicUpstreams {
			count += host.upstreams.InvalidCount()
		}
		host.scope.Tagged(map[string]string{"topic": name}).Gauge("unreadable_records").Update(float64(count))
	}
}
