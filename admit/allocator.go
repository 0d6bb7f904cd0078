package admit

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrykeel"
)

const (
	// leaseDuration is how long a host may use its allocated slots without requesting them again.
	leaseDuration = 300 * time.Millisecond
	// rotationPeriod is how long hosts wait for their turn when more of them request slots than there are.
	rotationPeriod = 100 * time.Millisecond
	// maxShift has many divisors, so that the shifts are spread evenly over any number of hosts.
	maxShift = 27720
)

// SlotRequest is what a host needs of one upstream's slots.
type SlotRequest struct {
	// InFlight counts the host's requests on the upstream, which keep their slots until they end.
	InFlight int
	// Waiting counts the host's requests that wait for a slot.
	Waiting int
}

// lease is what a host requested, the slots that it was granted, and until when it may use them.
type lease struct {
	request SlotRequest
	granted int
	until   cherrykeel.Instant
}

// SlotAllocator divides one upstream's slots among the entry hosts. The granted slots never exceed the upstream's: a
// slot of one host is granted to another one only after the host has released it, or after the host's lease has
// expired. It is not safe for concurrent use.
type SlotAllocator struct {
	slots int
	// quietUntil is when the leases of an earlier allocator have expired.
	quietUntil cherrykeel.Instant
	// rotationShift offsets the rotation of hosts against that for other upstreams, so that no host is without slots on
	// all of them at once.
	rotationShift int
	leases        map[string]*lease
}

// NewSlotAllocator returns an allocator that has granted nothing. Another host may have been the allocator until since,
// so for a lease duration from then on it grants slots only for requests in flight.
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

// Allocate records what a host needs, and returns how many slots the host may use and for how long from the time of its
// request.
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
		// What a host has in flight was granted by the previous allocator.
		current.granted = max(current.granted, min(request.InFlight, allocator.free(host)))
		return current.granted, leaseDuration
	}
	fair := allocator.divide(now)[host]
	granted := min(fair, allocator.free(host))
	current.granted = max(granted, min(request.InFlight, current.granted))
	return current.granted, leaseDuration
}

// expire removes the leases that have expired.
func (allocator *SlotAllocator) expire(now cherrykeel.Instant) {
	for host, lease := range allocator.leases {
		if now >= lease.until {
			delete(allocator.leases, host)
		}
	}
}

// free returns how many slots are not granted to other hosts.
func (allocator *SlotAllocator) free(host string) int {
	free := allocator.slots
	for name, lease := range allocator.leases {
		if name != host {
			free -= lease.granted
		}
	}
	return max(0, free)
}

// divide returns each host's fair share of the slots. It assigns them one by one in rounds, first to hosts with
// requests, then one each to hosts that have none now, so that their next request need not wait for a slot. If there
// are more hosts than slots, the host that comes first changes with time, so that none starves.
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
