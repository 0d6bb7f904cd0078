package tunnel

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel/events"
)

// maxReported bounds the upstreams that a host names in its reports.
const maxReported = 32

// Unreached returns the short names of the upstreams that this host does not reach itself, at most maxReported, and
// how many they are.
func (dialer *Dialer) Unreached() ([]string, int) {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	lost := dialer.table.Lost()
	var names []string
	for _, address := range lost[:min(len(lost), maxReported)] {
		upstream, listed := dialer.FindUpstream(address)
		if listed {
			names = append(names, dialer.ShortName(upstream.ID))
		}
	}
	return names, len(lost)
}

// LostFor returns for how long this host has not reached an address itself, or 0.
func (dialer *Dialer) LostFor(address string) time.Duration {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	return dialer.table.LostFor(address, dialer.clock.Now())
}

// IsUntold reports whether neither this host nor those that it asked could tell about the upstream at an address when they
// could not connect to it last.
func (dialer *Dialer) IsUntold(address string) bool {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	return dialer.table.IsUntold(address)
}

// Tunnels returns the number of open tunnels through each other host.
func (dialer *Dialer) Tunnels() map[string]int {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	counts := map[string]int{}
	for conn := range dialer.tunnels {
		counts[conn.host]++
	}
	return counts
}

// Retain forgets addresses that no upstream has any more.
func (dialer *Dialer) Retain() {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.table.Retain(func(address string) bool {
		_, listed := dialer.FindUpstream(address)
		return listed
	}, dialer.clock.Now())
	dialer.forgetLinks(dialer.clock.Now())
	dialer.logSummary()
}

// logPath logs a change of how one upstream is reached; Dialer.mutex is held.
func (dialer *Dialer) logPath(event events.Event, address string, fields ...zap.Field) {
	upstream, _ := dialer.FindUpstream(address)
	events.Log(dialer.Logger, event, append([]zap.Field{
		zap.String("Upstream", upstream.ID), zap.String("Service", upstream.Service), zap.String("Address", address),
	}, fields...)...)
}

// logSummary logs when this host begins to miss upstreams, and when it reaches all again; Dialer.mutex is held.
func (dialer *Dialer) logSummary() {
	lost := len(dialer.table.Lost()) > 0
	if lost == dialer.linksLost {
		return
	}
	dialer.linksLost = lost
	if lost {
		events.Log(dialer.Logger, events.LinksLost)
		return
	}
	events.Log(dialer.Logger, events.LinksRestored)
}
