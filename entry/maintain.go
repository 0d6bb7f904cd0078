package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cherrykeel/events"
	"cherrykeel/share"
)

const (
	// dispatchInterval is how often waiting requests are checked when nothing else triggers that. The timer does not
	// run while none waits: of some 170 timers a second on an idle host, 100 were this one.
	dispatchInterval = 10 * time.Millisecond
	// readyInterval is how often a host that has started checks whether it is ready.
	readyInterval = 25 * time.Millisecond
	// refreshInterval is how often missing upstreams, reports, counts and gauges are updated.
	refreshInterval = 250 * time.Millisecond
)

// maintain runs the host's periodic work until the context ends.
func (host *Host) maintain(ctx context.Context) {
	dispatch := time.NewTimer(dispatchInterval)
	defer dispatch.Stop()
	dispatching := true
	ready := time.NewTicker(readyInterval)
	defer ready.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	demand := time.NewTicker(share.DemandInterval())
	defer demand.Stop()
	remove := time.NewTicker(removeInterval)
	defer remove.Stop()
	begun := host.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-host.relay.QueuedSignal():
			if !dispatching {
				dispatch.Reset(dispatchInterval)
			}
			dispatching = true
			host.rateLimits.ask()
		case <-dispatch.C:
			dispatching = host.relay.Dispatch()
			host.rateLimits.ask()
			if dispatching {
				dispatch.Reset(dispatchInterval)
			}
		case <-ready.C:
			if host.checkReady() {
				ready.Stop()
			}
		case <-refresh.C:
			host.upstreams.RemoveMissing()
			host.checkReports()
			host.updateUnreadableGauges()
			host.updateUpstreamGauges()
			host.updateEraGauges()
			host.announceLostRoutes()
			host.dialer.Retain()
			host.dialer.TryLost()
			host.updateReachGauges()
			host.rateLimits.update()
			// A host that has become unreachable is left out of the sums without a message.
			host.updateOtherCounts()
		case <-remove.C:
			host.removeUnreachable(ctx, host.clock.Now().Sub(begun))
			host.removeExpiredDenials(ctx)
			host.rateLimits.repeat()
			host.rateLimits.logUsage()
			// Idle connections take up room at upstreams, which reset those beyond their limit.
			host.conns.CloseExpired()
		case <-demand.C:
			table, _, known := host.spans.Current()
			if known {
				host.mesh.ReportDemand(table.Keeper, host.relay.ProcessingTimes)
			}
		}
	}
}

// checkReady makes the host ready once it has the routes, the evacuated zones, the upstreams and the requests to
// refuse, and reports whether it is ready.
func (host *Host) checkReady() bool {
	_, known := host.routes.Current()
	if !known || !host.topics.operator.HasAppliedSnapshot() || !host.topics.upstreams.HasAppliedSnapshot() || !host.hasDenyList() {
		return false
	}
	host.ready.Store(true)
	events.Log(host.logger, events.EntryReady, zap.Int("Upstreams", len(host.upstreams.Current())))
	return true
}

// updateUpstreamGauges shows how many upstreams get no requests because their availability zone is evacuated, how many
// have stated in an answer that they are leaving, how many get a limited rate because they are cold, and how many of this
// host's requests still run in evacuated zones.
func (host *Host) updateUpstreamGauges() {
	evacuated := host.zones.Evacuated()
	var evacuating []string
	leaving := 0
	for _, upstream := range host.appliedUpstreams.current() {
		if upstream.EvacuateAt != 0 {
			evacuating = append(evacuating, upstream.ID)
		}
		if upstream.LeaveAt != 0 {
			leaving++
		}
	}
	stillRunning := 0
	if len(evacuating) > 0 {
		running := host.relay.OwnCounts().Running
		for _, id := range evacuating {
			stillRunning += running[id]
		}
	}
	host.scope.Gauge("evacuated_zones").Update(float64(len(evacuated)))
	host.scope.Gauge("evacuated_upstreams").Update(float64(len(evacuating)))
	host.scope.Gauge("evacuated_running").Update(float64(stillRunning))
	host.scope.Gauge("leaving_upstreams").Update(float64(leaving))
	host.scope.Gauge("resting_upstreams").Update(float64(host.relay.RestingUpstreams()))
	host.scope.Gauge("cold_upstreams").Update(float64(host.countColdUpstreams()))
	host.relay.UpdateRetryMetrics()
	host.updateLimitGauges()
}

// updateUnreadableGauges shows how many records of each topic could not be decoded.
func (host *Host) updateUnreadableGauges() {
	for name, topic := range host.topics.byName() {
		count := topic.UnreadableCount()
		if name == topicUpstreams {
			count += host.upstreams.InvalidCount()
		}
		host.scope.Tagged(map[string]string{"topic": name}).Gauge("unreadable_records").Update(float64(count))
	}
}
