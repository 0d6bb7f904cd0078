package entry

import (
	"time"

	"cherrykeel"
	"cherrykeel/relay"
	"cherrykeel/share"
)

// countsInterval bounds how often the other hosts' counts are summed up. Counts are 80 to 320 ms old in any case; the
// aggregator of a group of 24 receives some 250 messages with counts a second, and each of them led to new sums for all
// upstreams.
const countsInterval = 20 * time.Millisecond

// shortNames maps the short names of upstreams in counts to their IDs. It is computed when the upstreams change.
type shortNames map[string]string

func newShortNames(upstreams []cherrykeel.Upstream) shortNames {
	names := make(shortNames, len(upstreams))
	for _, upstream := range upstreams {
		names[share.ShortName(upstream.ID)] = upstream.ID
	}
	return names
}

// expand returns counts by the upstreams' IDs; counts of unknown upstreams are left out.
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

// updateOtherCounts passes the sums of the other hosts' counts to the relay.
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
