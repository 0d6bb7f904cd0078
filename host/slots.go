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
	// slotRequestInterval is the time between a host's requests for slots. If a caller's request has to wait for a slot,
	// the next request for slots is sent after slotsNeededDelay.
	slotRequestInterval = 50 * time.Millisecond
	slotsNeededDelay    = 5 * time.Millisecond
	slotRequestTimeout  = 150 * time.Millisecond
)

// slotAllocators are the allocators of the upstreams whose slots this host divides among all hosts.
type slotAllocators struct {
	mutex   sync.Mutex
	entries map[string]*slotAllocatorEntry
	// hostByService is the host that allocated each service's slots when the platform's list was last read, and hostSince
	// when it began to do so.
	hostByService map[string]string
	hostSince     map[string]cherrykeel.Instant
}

// slotAllocatorEntry is the allocator of one upstream's slots. since is when this host took over the role for which the
// allocator was created.
type slotAllocatorEntry struct {
	allocator *admit.SlotAllocator
	since     cherrykeel.Instant
}

// slotAllocatorHost returns the name of the host that allocates a service's slots: the first in rank that is not
// leaving.
func (host *Host) slotAllocatorHost(service string) string {
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

// updateSlotAllocatorHosts records which host allocates each service's slots, and since when.
func (host *Host) updateSlotAllocatorHosts() {
	table := host.table.Load()
	if table == nil {
		return
	}
	now := host.clock.Now()
	for path := range table.Services() {
		name := host.slotAllocatorHost(path)
		host.slotAllocators.mutex.Lock()
		if host.slotAllocators.hostByService[path] != name {
			host.slotAllocators.hostByService[path] = name
			host.slotAllocators.hostSince[path] = now
		}
		host.slotAllocators.mutex.Unlock()
	}
}

// requestSlots periodically requests slots from each service's allocator, until the context ends.
func (host *Host) requestSlots(ctx context.Context) {
	for ctx.Err() == nil {
		host.requestSlotsOnce(ctx)
		host.fleet.ResizeQueues()
		select {
		case <-time.After(slotRequestInterval):
		case <-host.fleet.SlotsNeeded():
			time.Sleep(slotsNeededDelay)
		case <-ctx.Done():
		}
	}
}

func (host *Host) requestSlotsOnce(ctx context.Context) {
	requests := map[string]wire.Slots{}
	for service, slotRequests := range host.fleet.SlotRequests() {
		allocatorHost := host.slotAllocatorHost(service)
		if _, exists := requests[allocatorHost]; !exists {
			requests[allocatorHost] = wire.Slots{Host: host.config.Name, Requests: map[string]map[string]admit.SlotRequest{}}
		}
		requests[allocatorHost].Requests[service] = slotRequests
	}
	var pending sync.WaitGroup
	for allocatorHost, request := range requests {
		pending.Go(func() { host.requestSlotsFrom(ctx, allocatorHost, request) })
	}
	pending.Wait()
}

func (host *Host) requestSlotsFrom(ctx context.Context, allocatorHost string, request wire.Slots) {
	sentAt := host.clock.Now()
	if allocatorHost == host.config.Name {
		reply := host.allocateSlots(request)
		host.fleet.ApplySlotGrants(reply.Granted, sentAt.Add(reply.Length))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	defer cancel()
	var reply wire.SlotsReply
	err := host.call(ctx, allocatorHost, wire.MethodSlots, request, &reply)
	if err == nil {
		host.fleet.ApplySlotGrants(reply.Granted, sentAt.Add(reply.Length))
	}
}

func (host *Host) onSlots(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.Slots
	err := json.Unmarshal(params, &request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return host.allocateSlots(request), nil
}

// allocateSlots answers a host's request for the slots that this host allocates.
func (host *Host) allocateSlots(request wire.Slots) wire.SlotsReply {
	reply := wire.SlotsReply{Granted: map[string]map[string]int{}}
	table := host.table.Load()
	if table == nil {
		return reply
	}
	host.slotAllocators.mutex.Lock()
	defer host.slotAllocators.mutex.Unlock()
	now := host.clock.Now()
	for path, slotRequests := range request.Requests {
		service := table.Services()[path]
		if service == nil {
			continue
		}
		reply.Granted[path] = map[string]int{}
		for upstream, slotRequest := range slotRequests {
			allocator := host.slotAllocators.allocator(path, upstream, service.Slots, now)
			reply.Granted[path][upstream], reply.Length = allocator.Allocate(request.Host, slotRequest, now)
		}
	}
	return reply
}

func (slotAllocators *slotAllocators) allocator(service, upstream string, slots int, now cherrykeel.Instant) *admit.SlotAllocator {
	name := service + " " + upstream
	found, exists := slotAllocators.entries[name]
	since, ranked := slotAllocators.hostSince[service]
	if !ranked {
		since = now
	}
	// Another host may have had the role in between, so an older allocator's grants are out of date.
	if !exists || found.since != since {
		found = &slotAllocatorEntry{allocator: admit.NewSlotAllocator(upstream, slots, since), since: since}
		slotAllocators.entries[name] = found
	}
	found.allocator.SetSlots(slots)
	return found.allocator
}
