package entry

import (
	"time"

	"cherrykeel"
	"cherrykeel/relay"
	"cherrykeel/share"
)

// gatherPace is how often the other hosts' counts are summed up at the most. Counts are 80 to 320 ms old in any case;
// the head of a group of 24 gets some 250 messages with counts a second, each of which was summed up for all upstreams.
const countsInterval = 20 * time.Millisecond

// shortNames are the names under which upstreams stand in counts, worked out when the upstreams change.
type shortNames map[string]string

func newShortNames(upstreams []cherrykeel.Upstream) shortNames {
	names := make(shortNames, len(upstreams))
	for _, upstream := range upstreams {
		names[share.ShortName(upstream.ID)] = upstream.ID
	}
	return names
}

// full returns counts by the upstreams' whole names; what no upstream here is called by is left out.
func (names shortNames) expand(counts map[string]int) map[string]int {
	full := make(map[string]int, len(counts))
	for short, count := range counts {
		id, known := names[short]
		if known {
			full[id] = count
		}
	}
	return full
}

// gather takes what the other hosts do.
func (host *Host) updateOtherCounts() {
	sums := host.mesh.OtherCounts()
	names := *host.shortNames.Load()
	counts := relay.NewRequestCounts()
	counts.Running = names.expand(sums.Running)
	counts.Waiting = names.expand(sums.Waiting)
	for _, service := range host.relay.Services() {
		counts.Queued[service] = sums.Queued[share.ShortName(service)]
	}
	host.relay.SetOtherCounts(counts)
}
