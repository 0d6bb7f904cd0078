package admit

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrykeel"
)

const (
	// shareLength is how long a host may use the slots that it was given without asking again.
	shareLength = 300 * time.Millisecond
	// turn is how long hosts wait for their turn when there are fewer slots than hosts that want one.
	turn = 100 * time.Millisecond
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
	want    SlotRequest
	granted int
	until   cherrykeel.Instant
}

// SlotAllocator divides one upstream's slots among the entry hosts. What it has given out never
// exceeds the slots: a host's part is given on only when the host has let go of it, or has
// not asked for so long that it has stopped using it. It is not safe for use by several goroutines.
type SlotAllocator struct {
	slots int
	quiet cherrykeel.Instant
	// shift moves the turns of one upstream against those of others, so that no host is
	// without slots on all of them at once.
	shift  int
	leases map[string]*lease
}

// NewSlotAllocator returns a steward that has given nothing out. Another host may have been steward
// until an instant, so for a share's length from then it gives nothing but what is in flight.
func NewSlotAllocator(upstream string, slots int, since cherrykeel.Instant) *SlotAllocator {
	return &SlotAllocator{
		slots:  slots,
		quiet:  since.Add(shareLength),
		shift:  int(xxhash.Sum64String(upstream) % maxShift),
		leases: map[string]*lease{},
	}
}

// SetSlots changes the number of slots.
func (steward *SlotAllocator) SetSlots(slots int) {
	steward.slots = slots
}

// Allocate takes in what a host wants and returns how many slots it may use for the share's length from when it asked.
func (steward *SlotAllocator) Allocate(host string, want SlotRequest, now cherrykeel.Instant) (int, time.Duration) {
	steward.expire(now)
	own, known := steward.leases[host]
	if !known {
		own = &lease{}
		steward.leases[host] = own
	}
	own.want = want
	own.until = now.Add(shareLength)
	if now < steward.quiet {
		// What a host has in flight was given to it by the steward before.
		own.granted = max(own.granted, min(want.InFlight, steward.free(host)))
		return own.granted, shareLength
	}
	fair := steward.divide(now)[host]
	granted := min(fair, steward.free(host))
	own.granted = max(granted, min(want.InFlight, own.granted))
	return own.granted, shareLength
}

func (steward *SlotAllocator) expire(now cherrykeel.Instant) {
	for host, lease := range steward.leases {
		if now >= lease.until {
			delete(steward.leases, host)
		}
	}
}

// free returns the slots that no other host has.
func (steward *SlotAllocator) free(host string) int {
	free := steward.slots
	for name, lease := range steward.leases {
		if name != host {
			free -= lease.granted
		}
	}
	return max(0, free)
}

// divide gives slots one by one, in turns, first to hosts with requests, then one each to hosts
// that have none now, so that their next request need not ask first. Where hosts outnumber
// slots, who comes first changes with time, and nobody starves.
func (steward *SlotAllocator) divide(now cherrykeel.Instant) map[string]int {
	hosts := make([]string, 0, len(steward.leases))
	for host := range steward.leases {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	first := (int(now.Sub(0)/turn) + steward.shift) % len(hosts)
	hosts = append(hosts[first:], hosts[:first]...)
	parts := map[string]int{}
	left := steward.slots
	for progress := true; left > 0 && progress; {
		progress = false
		for _, host := range hosts {
			want := steward.leases[host].want
			if left > 0 && parts[host] < want.InFlight+want.Waiting {
				parts[host]++
				left--
				progress = true
			}
		}
	}
	for _, host := range hosts {
		if left > 0 && parts[host] == 0 {
			parts[host]++
			left--
		}
	}
	return parts
}
