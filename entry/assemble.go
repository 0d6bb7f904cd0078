package entry

import (
	"time"

	"cherrykeel"
	"cherrykeel/caller"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/grants"
	"cherrykeel/memory"
	"cherrykeel/permit"
	"cherrykeel/poison"
	"cherrykeel/relay"
	"cherrykeel/share"
	"cherrykeel/watch"
)

// assemble creates and connects the parts of a host; none of them runs yet.
func (host *Host) assemble() {
	host.countsThrottle = &throttle{clock: host.clock, interval: countsInterval, run: host.updateOtherCounts}
	host.reportsThrottle = &throttle{clock: host.clock, interval: reportsInterval, run: host.checkReports}
	host.newcomersThrottle = &throttle{clock: host.clock, interval: newcomersInterval, run: host.announceToNewcomers}
	host.peersThrottle = &throttle{clock: host.clock, interval: peersInterval, run: host.applyPeers}
	host.rateLimits = newRateLimits(host)
	host.shortNames.Store(&shortNames{})
	host.doubts = &doubts{askedAt: map[permit.Incarnation]cherrykeel.Instant{}}
	host.schedulingDelay = newSchedulingDelay(host.clock)
	host.spans = watch.NewSpans(host.clock, host.logger, host.onSpansChange, host.announceSpans)
	host.mesh = share.New(host.self, host.clock, host.logger, &state{host: host}, host.reportsThrottle.trigger, host.countsThrottle.trigger, func(demand share.Demand) { host.keeper.RecordDemand(demand) }, host.receive)
	host.mesh.SetPermitHandler(host.rateLimits)
	host.mesh.SetDefaultEra(host.defaultEra)
	host.newTunnels()
	host.conns = conns.NewPool(conns.WithDial(host.dialer.DialContext), conns.WithOnClosed(host.dialer.RecordClosed), conns.WithIdleTimeout(idleTimeout), conns.WithCloseDelimited())
	host.pendingDenials = deny.NewPendingRecords()
	host.denyList = deny.New(deny.Settings{
		Clock: host.clock, Logger: host.logger, IsConnectionRefused: host.conns.IsRefused,
		Announce: host.announceDenial, Store: host.pendingDenials.Add, MinCrashesToStore: minStoredCrashes,
		HasAnnouncedShutdown: func(incarnation poison.Incarnation) bool {
			return host.upstreams.IsLeaving(incarnation.Upstream, incarnation.StartedAt)
		},
	})
	host.relay = relay.New(relay.Settings{
		Zone: host.settings.Zone, Bounds: host.currentBounds, Clock: host.clock, Dialect: host.platform.Dialect,
		Pool:   host.conns,
		Logger: host.logger, Scope: host.scope, Owner: host.spans.Owner, OnKeyRequest: host.mesh.RecordKeyRequest, HostCount: host.mesh.HostCount,
		OnMisdirected: host.onMisdirected, OnUpstreamReplaced: func(upstream cherrykeel.Upstream) { host.upstreams.MarkEnded(upstream) },
		OnUpstreamDoubted: host.identify,
		OnUpstreamLeaving: host.recordLeaving,
		OnUpstreamLimit: func(upstream permit.Incarnation, heard permit.Statement, request string) {
			host.recordLimit(upstream, heard, watch.Source{Request: request})
		},
		DenyList:     host.denyList,
		AnswerMemory: memory.NewLimit(int64(answerShare * float64(host.settings.MemoryBytes))),
	})
	host.server = caller.New(host.relay, caller.WithLimits(host.limits), caller.WithLogger(host.logger),
		caller.WithBodyMemoryLimit(int64(bodyShare*float64(host.settings.MemoryBytes))),
		caller.WithConnLimit(int(callerShare*float64(host.settings.MaxDescriptors))))
	host.routes = watch.NewRoutes(host.platform.RoutesKey, host.platform.DecodeRoutes, host.logger, host.applyRoutes, host.announcer(topicSettings))
	host.zones = watch.NewZones(host.platform.EvacuationPrefix, host.clock, host.logger, host.applyUpstreams, host.announcer(topicSettings))
	host.upstreams = watch.NewUpstreams(host.platform.DecodeUpstream, host.clock, host.logger,
		host.applyUpstreams, host.announceUpstreams)
	host.peers = watch.NewPeers(host.clock, host.logger, host.peersThrottle.trigger, host.announcer(topicHosts))
	host.topics.operator = host.newFollower(topicSettings, host.platform.Operator, host.applyOperator, host.settingsSchedule)
	host.topics.upstreams = host.newFollower(topicUpstreams, host.platform.Upstreams, host.upstreams.Apply, host.upstreamsSchedule)
	host.topics.hosts = host.newFollower(topicHosts, host.platform.Hosts, host.applyHosts, host.tableSchedule)
	host.topics.spans = host.newFollower(topicSpans, host.platform.Spans, host.spans.Apply, host.tableSchedule)
	host.spans.SetMaxLeaseDuration(func() time.Duration { return host.currentBounds().MaxLeaseDuration })
	host.upstreams.SetServices(host.services)
	host.upstreams.SetTopicAvailability(host.topics.upstreams.AvailableFor)
	host.granter = host.platform.NewGranter(host.dialer.DialOrder)
	host.keeper = grants.New(host.self, host.clock, host.logger, host.platform.Spans, watch.SpansKey, &ownTable{host: host},
		&environment{host: host}, host.mesh, host.granter, host.currentBounds, grants.WithMetrics(host.scope))
}

// onSpansChange passes a new table's keeper to the mesh, and dispatches requests that waited for an owner.
func (host *Host) onSpansChange() {
	table, _, _ := host.spans.Current()
	host.mesh.SetKeeper(table.Keeper)
	host.relay.Dispatch()
}

func (host *Host) newFollower(name string, log cherrykeel.KeyedLog, apply func(watch.Update), schedule func() watch.Schedule) *watch.Follower {
	applyRestored := func(update watch.Update) {
		if update.Restored {
			host.handleRestored(name, update)
		}
		apply(update)
	}
	return watch.NewFollower(name, log, host.clock, host.logger, applyRestored, schedule)
}
