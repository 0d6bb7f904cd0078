package main

import (
	"fmt"
	"time"
)

const (
	// before is how long requests are sent before the final fault, and judged how long those are sent that are judged.
	before = 10 * time.Second
	judged = 10 * time.Second
	// lost is how many of the eight machines are removed for good: one of the two in each zone, so that no zone is lost.
	lost = 4
	// servedShare is the least share of requests to be served after the recovery.
	servedShare = 0.25
)

// runFewLeft kills all processes at one moment. Some machines come back, the others are removed for good; the one that
// last wrote to the store under a condition is among those. Callers ask for the service that is divided by key.
func runFewLeft(world *world) verdict {
	services := append([]service(nil), quotes...)
	for i := range services {
		if !services[i].keyed {
			services[i].perSecond = 0
		}
	}
	err := world.build(services, 8)
	if err == nil {
		err = world.awaitServed(services[:1])
	}
	if err != nil {
		return world.fail(err)
	}
	rotation := world.hosts
	stop := make(chan struct{})
	chosen := make(chan []*host, 1)
	chosen <- rotation
	current := func() []*host {
		hosts := <-chosen
		chosen <- hosts
		return hosts
	}
	wait := world.startCallers(services, current, stop)
	begin := world.now()
	time.Sleep(before)
	writer := world.store.lastConditionalHost()
	world.note("%s has written to the store under a condition last", world.hosts[writer].name)
	killedAt := world.now()
	var left []*host
	for i := range world.hosts {
		host := world.hosts[(writer+i)%len(world.hosts)]
		remove := world.trouble && i < lost
		host.kill(remove)
		if !remove {
			left = append(left, host)
		}
	}
	// The platform sends new connections to machines in rotation only.
	<-chosen
	chosen <- left
	time.Sleep(time.Second)
	err = world.awaitReady(left)
	if err != nil {
		return world.fail(err)
	}
	back := world.now()
	world.note("the machines that are left are back")
	time.Sleep(recovery + judged)
	until := world.now()
	close(stop)
	wait()
	sentBefore, servedBefore := world.countServed(begin, killedAt)
	world.countServed(killedAt, back+recovery)
	sent, served := world.countServed(back+recovery, until)
	fmt.Printf("served before the fault: %d of %d; sent later than %s after the machines were back: %d of %d\n", servedBefore, sentBefore, recovery, served, sent)
	if float64(servedBefore) < servedShare*float64(sentBefore) {
		return world.fail(fmt.Errorf("too few requests were served before the fault"))
	}
	if float64(served) < servedShare*float64(sent) {
		return broken
	}
	return held
}
