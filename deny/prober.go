package deny

import (
	"sync"
	"time"
)

// prober probes addresses at a limited rate for each address.
type prober struct {
	probe func(address string)
	mutex sync.Mutex
	// nextProbe has the time from which an address may be probed again; entries in the past are removed.
	nextProbe map[string]time.Time
}

func newProber(probe func(address string)) *prober {
	return &prober{probe: probe, nextProbe: map[string]time.Time{}}
}

// schedule schedules a probe of an address after probeDelay, and at least probeInterval after the previous one. It does
// nothing if a probe is scheduled already.
func (prober *prober) schedule(address string) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	now := time.Now()
	for other, next := range prober.nextProbe {
		if now.After(next) {
			delete(prober.nextProbe, other)
		}
	}
	probeAt := now.Add(probeDelay)
	next, probed := prober.nextProbe[address]
	if probed && next.Sub(now) > probeInterval {
		// The latest scheduled probe has not started yet.
		return
	}
	if probed && next.After(probeAt) {
		probeAt = next
	}
	prober.nextProbe[address] = probeAt.Add(probeInterval)
	time.AfterFunc(probeAt.Sub(now), func() { prober.probe(address) })
}
