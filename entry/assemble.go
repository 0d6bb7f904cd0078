package entry

import (
	"time"

	"cherrykeel"
	"cherrykeel/caller"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/grants"
	"cherrykeel/poison"
	"cherrykeel/relay"
	"cherrykeel/share"
	"cherrykeel/watch"
)

// assemble joins the parts of a host; none of them does anything yet.
func (host *Host) assemble() {
	host.counted = &paced{clock: host.clock, pace: gatherPace, do: host.gather}
	host.reported = &paced{clock: host.clock, pace: heardPace, do: host.heard}
	host.joined = &paced{clock: host.clock, pace: newcomersPace, do: host.tellNewcomers}
	host.listed = &paced{clock: host.clock, pace: peersPace, do: host.putPeersInForce}
	host.names.Store(&shortNames{})
	host.lag = newLag(host.clock)
	host.spans = watch.NewSpans(host.clock, host.logger, host.spansChanged, host.tellSpans)
	host.mesh = share.New(host.self, host.clock, host.logger, &state{host: host}, host.reported.ask, host.counted.ask, func(demand share.Demand) { host.keeper.RecordDemand(demand) }, host.told)
	host.conns = conns.NewPool(conns.WithDialTimeout(dialTimeout), conns.WithUserTimeout(userTimeout), conns.WithIdleTimeout(idleTimeout), conns.WithUnframed())
	host.kept = deny.NewPending()
	host.denied = deny.New(deny.Settings{
		Clock: host.clock, Logger: host.logger, Probe: host.conns.Refused,
		Tell: host.tellDenied, Keep: host.kept.Add, KeptEnds: keptEnds,
		Planned: func(life poison.Life) bool { return host.upstreams.IsLeaving(life.Upstream, life.Born) },
	})
	host.relay = relay.New(relay.Settings{
		Zone: host.settings.Zone, Bounds: host.currentBounds, Clock: host.clock, Dialect: host.platform.Dialect,
		Pool:   host.conns,
		Logger: host.logger, Scope: host.scope, Owner: host.spans.Owner, OnKeyRequest: host.mesh.RecordKeyRequest, HostCount: host.mesh.HostCount,
		OnMisdirected: host.misdirected, OnUpstreamReplaced: func(id string) { host.upstreams.MarkEnded(id) }, DenyList: host.denied,
	})
	host.server = caller.New(host.relay, caller.WithLimits(host.limits), caller.WithLogger(host.logger),
		caller.WithMemory(int64(bodyShare*float64(host.settings.MemoryBytes))))
	host.routes = watch.NewRoutes(host.platform.RoutesKey, host.platform.DecodeRoutes, host.logger, host.takeRoutes, host.tellOne(topicSettings))
	host.zones = watch.NewZones(host.platform.EvacuationPrefix, host.clock, host.logger, host.putUpstreamsInForce, host.tellOne(topicSettings))
	host.upstreams = watch.NewUpstreams(host.platform.DecodeUpstream, host.clock, host.logger,
		host.putUpstreamsInForce, host.tellUpstreams)
	host.peers = watch.NewPeers(host.clock, host.logger, host.listed.ask, host.tellOne(topicHosts))
	host.topics.operator = host.follow(topicSettings, host.platform.Operator, host.applyOperator, host.settingsSchedule)
	host.topics.upstreams = host.follow(topicUpstreams, host.platform.Upstreams, host.upstreams.Apply, host.upstreamsSchedule)
	host.topics.hosts = host.follow(topicHosts, host.platform.Hosts, host.applyHosts, host.tableSchedule)
	host.topics.spans = host.follow(topicSpans, host.platform.Spans, host.spans.Apply, host.tableSchedule)
	host.spans.SetMaxLeaseDuration(func() time.Duration { return host.currentBounds().MaxLeaseDuration })
	host.upstreams.SetTopicAvailability(host.topics.upstreams.AvailableFor)
	host.keeper = grants.New(host.self, host.clock, host.logger, host.platform.Spans, watch.SpansKey, &ownTable{host: host},
		&world{host: host}, host.mesh, host.platform.Granter, host.currentBounds, grants.WithMetrics(host.scope))
}

func (host *Host) spansChanged() {
	table, _, _ := host.spans.Current()
	host.mesh.SetKeeper(table.Keeper)
	host.relay.Dispatch()
}

func (host *Host) follow(name string, log cherrykeel.KeyedLog, apply func(watch.Update), schedule func() watch.Schedule) *watch.Follower {
	return watch.NewFollower(name, log, host.clock, host.logger, apply, schedule)
}
