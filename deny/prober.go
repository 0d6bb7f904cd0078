package deny

import (
	"sync"
	"time"
)

// prober asks addresses at a bounded pace, each by one goroutine at a time.
type prober struct {
	probe func(address string)
	mutex sync.Mutex
	// nextProbe is when an address may be asked again; those whose time has passed are dropped.
	nextProbe map[string]time.Time
}

func newProber(ask func(address string)) *prober {
	return &prober{probe: ask, nextProbe: map[string]time.Time{}}
}

// schedule has an address asked after a moment, unless that is about to happen.
func (prober *prober) schedule(address string) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	now := time.Now()
	for other, next := range prober.nextProbe {
		if now.After(next) {
			delete(prober.nextProbe, other)
		}
	}
	at := now.Add(probeDelay)
	next, asked := prober.nextProbe[address]
	if asked && next.Sub(now) > probeInterval {
		// The last probe that was asked for has not begun yet.
		return
	}
	if asked && next.After(at) {
		at = next
	}
	prober.nextProbe[address] = at.Add(probeInterval)
	time.AfterFunc(at.Sub(now), func() { prober.probe(address) })
}
