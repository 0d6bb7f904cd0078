package main

import (
	"fmt"
	"time"
)

// The deployment of the cases: the services of a small one, with fewer requests a second.
var quotes = []service{
	{name: "huvo11a", route: "r-browse", domain: "hulo84.example", prefix: "/leny950/", method: "GET", kind: "safe", keyed: true, servers: 8, work: 60 * time.Millisecond, timeout: 500 * time.Millisecond, target: 200 * time.Millisecond, priority: 2, perSecond: 60},
	{name: "wuno96b", route: "r-hold", domain: "jepu9.example", prefix: "/puka111/", method: "POST", kind: "unsafe", servers: 8, work: 78 * time.Millisecond, timeout: 600 * time.Millisecond, target: 250 * time.Millisecond, priority: 1, perSecond: 100},
	{name: "kafi81c", route: "r-deposit", domain: "domi3.example", prefix: "/sako7/", method: "POST", kind: "unsafe", servers: 8, work: 42 * time.Millisecond, timeout: 400 * time.Millisecond, target: 150 * time.Millisecond, perSecond: 60},
}

const (
	// lateBy is how much later than it was sent the store carries out the heartbeat that it did not answer; the pages say 1
	// to 6 s.
	lateBy = 5300 * time.Millisecond
	// servesOn is how long a draining server serves after its report; the pages say for `drain` and a little longer, at
	// times many seconds.
	servesOn = 4500 * time.Millisecond
	// pause is the time between two servers' leaving.
	pause = 2 * time.Second
)

// runLateBeat lets servers leave as planned. The store answers one earlier heartbeat of each not, and carries it out late.
func runLateBeat(world *world) verdict {
	err := world.build(quotes, 8)
	if err == nil {
		err = world.awaitServed(quotes)
	}
	if err != nil {
		return world.fail(err)
	}
	stop := make(chan struct{})
	wait := world.startCallers(quotes, func() []*host { return world.hosts }, stop)
	time.Sleep(stableWindow)
	late := 0
	acknowledged := map[*backend]time.Duration{}
	world.mutex.Lock()
	world.onRun = func(id string, run run) {
		since, draining := acknowledged[run.server]
		sent := world.requests[id]
		if draining && sent != nil && run.arrived > since+drainBound {
			late++
			world.write("DRAIN: %s reached %s %.0f ms after the store had acknowledged that it is draining", id, run.server.id, (run.arrived-since).Seconds()*1000)
		}
	}
	world.mutex.Unlock()
	// One server of each service without keys, one after the other.
	for _, number := range []int{8, 16, 9, 17} {
		server := world.servers[number]
		if world.trouble {
			lost := server.loseBeat()
			world.note("%s writes its heartbeat %d (%s); the store does not answer", server.id, lost.Status.SeqNo, lost.Status.State)
			time.AfterFunc(lateBy, func() {
				world.store.put("keyed.servers", server.id, lost)
				world.note("the store carries out heartbeat %d of %s", lost.Status.SeqNo, server.id)
			})
		}
		// The store is calm for stableWindow before the server reports that it drains.
		time.Sleep(stableWindow + 100*time.Millisecond)
		server.drain()
		world.mutex.Lock()
		acknowledged[server] = world.now()
		world.write("%s (%s) is draining: acknowledged by the store", server.id, server.service)
		world.mutex.Unlock()
		time.Sleep(servesOn)
		server.end()
		world.store.put("keyed.servers", server.id, nil)
		world.note("%s has ended", server.id)
		time.Sleep(pause)
	}
	close(stop)
	wait()
	world.countServed(0, world.now())
	fmt.Printf("requests that reached a draining server over %s after the store's acknowledgement: %d\n", drainBound, late)
	if late > 0 {
		return broken
	}
	return held
}
