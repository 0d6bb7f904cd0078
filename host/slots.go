package host

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/admit"
	"cherrykeel/keeper"
	"cherrykeel/wire"
)

const (
	// slotsPause is the time between a host's questions for slots; a request that finds none asks at once.
	slotsPause   = 50 * time.Millisecond
	slotsHurry   = 5 * time.Millisecond
	slotsTimeout = 150 * time.Millisecond
)

// stewards are the slots that this host divides among all.
type stewards struct {
	mutex sync.Mutex
	known map[string]*stewardship
	// ranked is who was steward of each service when the list was last read, and since when this host is.
	ranked map[string]string
	since  map[string]cherrykeel.Instant
}

type stewardship struct {
	steward *admit.SlotAllocator
	since   cherrykeel.Instant
}

// steward names the host that divides a service's slots: the first in rank that is not leaving.
func (host *Host) steward(service string) string {
	var names []string
	for _, peer := range host.roster.peers() {
		if !peer.Leaving {
			names = append(names, peer.Name)
		}
	}
	if len(names) == 0 {
		return host.config.Name
	}
	return keeper.RankByHash("slots "+service, names)[0]
}

// rankStewards notes for which services this host has become steward.
func (host *Host) rankStewards() {
	table := host.table.Load()
	if table == nil {
		return
	}
	now := host.clock.Now()
	for path := range table.Services() {
		name := host.steward(path)
		host.stewards.mutex.Lock()
		if host.stewards.ranked[path] != name {
			host.stewards.ranked[path] = name
			host.stewards.since[path] = now
		}
		host.stewards.mutex.Unlock()
	}
}

// askSlots asks each service's steward, until the context ends.
func (host *Host) askSlots(ctx context.Context) {
	for ctx.Err() == nil {
		host.askSlotsOnce(ctx)
		host.fleet.ResizeQueues()
		select {
		case <-time.After(slotsPause):
		case <-host.fleet.SlotsNeeded():
			time.Sleep(slotsHurry)
		case <-ctx.Done():
		}
	}
}

func (host *Host) askSlotsOnce(ctx context.Context) {
	questions := map[string]wire.Slots{}
	for service, wants := range host.fleet.SlotRequests() {
		steward := host.steward(service)
		if _, asked := questions[steward]; !asked {
			questions[steward] = wire.Slots{Host: host.config.Name, Requests: map[string]map[string]admit.SlotRequest{}}
		}
		questions[steward].Requests[service] = wants
	}
	var answered sync.WaitGroup
	for steward, question := range questions {
		answered.Go(func() { host.askSteward(ctx, steward, question) })
	}
	answered.Wait()
}

func (host *Host) askSteward(ctx context.Context, steward string, question wire.Slots) {
	asked := host.clock.Now()
	if steward == host.config.Name {
		reply := host.divide(question)
		host.fleet.ApplySlotGrants(reply.Granted, asked.Add(reply.Length))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, slotsTimeout)
	defer cancel()
	var reply wire.SlotsReply
	err := host.call(ctx, steward, wire.MethodSlots, question, &reply)
	if err == nil {
		host.fleet.ApplySlotGrants(reply.Granted, asked.Add(reply.Length))
	}
}

func (host *Host) onSlots(_ context.Context, params json.RawMessage) (any, error) {
	var question wire.Slots
	err := json.Unmarshal(params, &question)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return host.divide(question), nil
}

// divide answers a host's question as steward.
func (host *Host) divide(question wire.Slots) wire.SlotsReply {
	reply := wire.SlotsReply{Granted: map[string]map[string]int{}}
	table := host.table.Load()
	if table == nil {
		return reply
	}
	host.stewards.mutex.Lock()
	defer host.stewards.mutex.Unlock()
	now := host.clock.Now()
	for path, wants := range question.Requests {
		service := table.Services()[path]
		if service == nil {
			continue
		}
		reply.Granted[path] = map[string]int{}
		for upstream, want := range wants {
			steward := host.stewards.find(path, upstream, service.Slots, now)
			reply.Granted[path][upstream], reply.Length = steward.Allocate(question.Host, want, now)
		}
	}
	return reply
}

func (stewards *stewards) find(service, upstream string, slots int, now cherrykeel.Instant) *admit.SlotAllocator {
	name := service + " " + upstream
	found, exists := stewards.known[name]
	since, ranked := stewards.since[service]
	if !ranked {
		since = now
	}
	// Another host may have been steward in between; what it gave out has ended long ago.
	if !exists || found.since != since {
		found = &stewardship{steward: admit.NewSlotAllocator(upstream, slots, since), since: since}
		stewards.known[name] = found
	}
	found.steward.SetSlots(slots)
	return found.steward
}
