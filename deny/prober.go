package deny

import (
	"sync"
	"time"
)

// prober asks addresses at a bounded pace, each by one goroutine at a time.
type prober struct {
	ask   func(address string)
	mutex sync.Mutex
	// next is when an address may be asked again; those whose time has passed are dropped.
	next map[string]time.Time
}

func newProber(ask func(address string)) *prober {
	return &prober{ask: ask, next: map[string]time.Time{}}
}

// soon has an address asked after a moment, unless that is about to happen.
func (prober *prober) soon(address string) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	now := time.Now()
	for other, next := range prober.next {
		if now.After(next) {
			delete(prober.next, other)
		}
	}
	at := now.Add(probeAfter)
	next, asked := prober.next[address]
	if asked && next.Sub(now) > probeEvery {
		// The last probe that was asked for has not begun yet.
		return
	}
	if asked && next.After(at) {
		at = next
	}
	prober.next[address] = at.Add(probeEvery)
	time.AfterFunc(at.Sub(now), func() { prober.ask(address) })
}
