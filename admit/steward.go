package admit

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrykeel"
)

const (
	// leaseDuration is how long a host may use the slots that it was given without asking again.
	leaseDuration = 300 * time.Millisecond
	// rotationPeriod is how long hosts wait for their rotationPeriod when there are fewer slots than hosts that want one.
	rotationPeriod = 100 * time.Millisecond
	// maxShift is a number with many divisors, so that shifts stay even whatever the number of hosts.
	maxShift = 27720
)

// SlotRequest is what a host asks of one upstream's slots.
type SlotRequest struct {
	// InFlight counts its requests on the upstream, which keep their slots until they end.
	InFlight int
	// Waiting counts those that wait for a slot.
	Waiting int
}

type lease struct {
	request SlotRequest
	granted int
	until   cherrykeel.Instant
}

// SlotAllocator divides one upstream's slots among the entry hosts. What it has given out never
// exceeds the slots: a host's part is given on only when the host has let go of it, or has
// not asked for so long that it has stopped using it. It is not safe for use by several goroutines.
type SlotAllocator struct {
	slots      int
	quietUntil cherrykeel.Instant
	// rotationShift moves the turns of one upstream against those of others, so that no host is
	// without slots on all of them at once.
	rotationShift int
	leases        map[string]*lease
}

// NewSlotAllocator returns a steward that has given nothing out. Another host may have been steward
// until an instant, so for a share's length from then it gives nothing but what is in flight.
func NewSlotAllocator(upstream string, slots int, since cherrykeel.Instant) *SlotAllocator {
	return &SlotAllocator{
		slots:         slots,
		quietUntil:    since.Add(leaseDuration),
		rotationShift: int(xxhash.Sum64String(upstream) % maxShift),
		leases:        map[string]*lease{},
	}
}

// SetSlots changes the number of slots.
func (allocator *SlotAllocator) SetSlots(slots int) {
	allocator.slots = slots
}

// Allocate takes in what a host wants and returns how many slots it may use for the share's length from when it asked.
func (allocator *SlotAllocator) Allocate(host string, request SlotRequest, now cherrykeel.Instant) (int, time.Duration) {
	allocator.expire(now)
	current, known := allocator.leases[host]
	if !known {
		current = &lease{}
		allocator.leases[host] = current
	}
	current.request = request
	current.until = now.Add(leaseDuration)
	if now < allocator.quietUntil {
		// What a host has in flight was given to it by the steward before.
		current.granted = max(current.granted, min(request.InFlight, allocator.free(host)))
		return current.granted, leaseDuration
	}
	fair := allocator.divide(now)[host]
	granted := min(fair, allocator.free(host))
	current.granted = max(granted, min(request.InFlight, current.granted))
	return current.granted, leaseDuration
}

func (allocator *SlotAllocator) expire(now cherrykeel.Instant) {
	for host, lease := range allocator.leases {
		if now >= lease.until {
			delete(allocator.leases, host)
		}
	}
}

// free returns the slots that no other host has.
func (allocator *SlotAllocator) free(host string) int {
	free := allocator.slots
	for name, lease := range allocator.leases {
		if name != host {
			free -= lease.granted
		}
	}
	return max(0, free)
}

// divide gives slots one by one, in turns, first to hosts with requests, then one each to hosts
// that have none now, so that their next request need not ask first. Where hosts outnumber
// slots, who comes first changes with time, and nobody starves.
func (allocator *SlotAllocator) divide(now cherrykeel.Instant) map[string]int {
	hosts := make([]string, 0, len(allocator.leases))
	for host := range allocator.leases {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	first := (int(now.Sub(0)/rotationPeriod) + allocator.rotationShift) % len(hosts)
	hosts = append(hosts[first:], hosts[:first]...)
	shares := map[string]int{}
	remaining := allocator.slots
	for progress := true; remaining > 0 && progress; {
		progress = false
		for _, host := range hosts {
			request := allocator.leases[host].request
			if remaining > 0 && shares[host] < request.InFlight+request.Waiting {
				shares[host]++
				remaining--
				progress = true
			}
		}
	}
	for _, host := range hosts {
		if remaining > 0 && shares[host] == 0 {
			shares[host]++
			remaining--
		}
	}
	return shares
}
