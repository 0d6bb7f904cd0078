package entry

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"cherrykeel/events"
)

const (
	// usageInterval is how often an allocator logs what it has handed out, and maxLoggedParts bounds the hosts in a line.
	usageInterval  = 5 * time.Second
	maxLoggedParts = 16
)

// logUsage logs now and then what this host has handed out as an allocator.
func (rateLimits *rateLimits) logUsage() {
	host := rateLimits.host
	now := host.clock.Now()
	rateLimits.mutex.Lock()
	if now.Sub(rateLimits.loggedAt) < usageInterval {
		rateLimits.mutex.Unlock()
		return
	}
	rateLimits.loggedAt = now
	usages := rateLimits.allocator.TakeUsage()
	rateLimits.mutex.Unlock()
	byUpstream := rateLimits.byUpstream()
	for _, usage := range usages {
		given, parts := largestParts(usage.Given)
		events.Log(host.logger, events.PermitsGiven,
			zap.String("Upstream", usage.Upstream.ID), zap.Float64("Limit", byUpstream[usage.Upstream].Limit.PerSecond), zap.Float64("Share", host.mesh.PermitShare()),
			zap.Int("Given", given), zap.Int("Declined", usage.Declined), zap.Int("Hosts", len(usage.Given)), zap.Any("Parts", parts))
	}
}

// largestParts returns the sum of permits by host, and the hosts with most.
func largestParts(given map[string]int) (int, map[string]int) {
	var names []string
	total := 0
	for name, count := range given {
		names = append(names, name)
		total += count
	}
	sort.Slice(names, func(i, j int) bool { return given[names[i]] > given[names[j]] })
	parts := map[string]int{}
	for _, name := range names[:min(len(names), maxLoggedParts)] {
		parts[name] = given[name]
	}
	return total, parts
}

// updateLimitGauges shows how many upstreams name a limit, and each limit; a limit that has ended is shown as -1.
func (host *Host) updateLimitGauges() {
	named := map[string]float64{}
	for incarnation, known := range host.rateLimits.byUpstream() {
		named[incarnation.ID] = known.Limit.PerSecond
	}
	host.scope.Gauge("limited_upstreams").Update(float64(len(named)))
	for id, limit := range named {
		host.rateLimits.shownLimits[id] = true
		host.scope.Tagged(map[string]string{"upstream": id}).Gauge("upstream_limit").Update(limit)
	}
	for id := range host.rateLimits.shownLimits {
		if _, isNamed := named[id]; !isNamed {
			delete(host.rateLimits.shownLimits, id)
			host.scope.Tagged(map[string]string{"upstream": id}).Gauge("upstream_limit").Update(-1)
		}
	}
}
