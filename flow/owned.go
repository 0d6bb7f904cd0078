package flow

import (
	"time"

	"cherrykeel"
)

// minShare is the share of an owner's room, in requests, below which hosts draw. Above it all that wait have at most
// three times the owner's room there together, which its own queue takes; drawn for there too, requests at 8 to 11
// hosts waited for counts, and four of nine paired days were worth 0.004 to 0.016 less, one 0.004 more.
const minShare = 1.0 / 3

// extraSampledSlots is how many places are drawn for beyond an owner's limit: some that have drawn one have no request left
// when the counts are known, and a slot would stay free until the next ones, 160 ms later.
const extraSampledSlots = 1

// maxUnownedWaitShare is the share of its time that a request waits for its key to get an owner.
const maxUnownedWaitShare = 0.5

// owned lets requests wait for the one upstream that has their key.
type owned struct {
	service   *Service
	findOwner func(key int) Owner
	// keyless takes requests without a key, which any upstream may refuse.
	keyless *shared
	// waitingCounts counts this host's waiting requests by owner, as of the last count.
	waitingCounts map[string]int
	// unownedQueue is the queue of requests whose key has no owner that is known.
	unownedQueue standingQueue
}

func (owned *owned) upstreamsChanged() {
	owned.keyless.upstreamsChanged()
}

func (owned *owned) refreshCounts() {
	owned.waitingCounts = owned.waitingByOwner()
}

func (owned *owned) setRemoteWaiting(int) {}

// observeQueues lets a host know of a queue that stands at an owner though it has sent it nothing for long. Among 195
// hosts each has one request for an owner in a minute; while only a host's own requests told it that a queue stands,
// none knew, and all queues grew as far as deadlines allow.
func (owned *owned) observeQueues(now cherrykeel.Instant) {
	if owned.service.target == 0 {
		return
	}
	serviceMean := owned.service.meanProcessingTime()
	for _, member := range owned.service.members {
		if member.remoteWaiting > 0 || member.queue.isStanding {
			member.queue.update(owned.expectedTime(member, member.remoteWaiting, serviceMean, now), owned.service.target, now)
		}
	}
}

// expectedTime is how long a request takes that comes behind others that wait for an owner.
func (owned *owned) expectedTime(member *member, ahead int, serviceMean time.Duration, now cherrykeel.Instant) time.Duration {
	processingTime := member.expectedProcessingTime(serviceMean, now)
	turns := float64(ahead+1+max(0, member.load()-member.upstream.Slots)) / float64(member.upstream.Slots)
	return time.Duration(turns*float64(processingTime)) + processingTime
}

func (owned *owned) waitingByOwner() map[string]int {
	waiting := map[string]int{}
	for _, ticket := range owned.service.waiting {
		waiting[owned.owner(ticket).ID]++
	}
	return waiting
}

func (owned *owned) owner(ticket *Ticket) Owner {
	if ticket.Key == cherrykeel.NoKey {
		return Owner{}
	}
	return owned.findOwner(ticket.Key)
}

func (owned *owned) isCompeting(ticket, other *Ticket) bool {
	return owned.owner(ticket).ID == owned.owner(other).ID
}

func (owned *owned) queueFor(ticket *Ticket) *standingQueue {
	member, known := owned.service.members[owned.owner(ticket).ID]
	if !known {
		return &owned.unownedQueue
	}
	return &member.queue
}

// chooseProbe returns the key's owner, unless this host has sent it something lately whose answer will tell.
func (owned *owned) chooseProbe(ticket *Ticket, now cherrykeel.Instant) *member {
	if ticket.Key == cherrykeel.NoKey {
		return owned.keyless.chooseProbe(ticket, now)
	}
	owner := owned.owner(ticket)
	member, known := owned.service.members[owner.ID]
	if !known || owner.InTransfer || !member.isAvailable(now) || !owned.canSend(member, now) || !member.isIdle(now) {
		return nil
	}
	if !member.isRuledOut(ticket, owned.service.meanProcessingTime(), now) {
		return nil
	}
	return member
}

func (owned *owned) chooseUpstream(ticket *Ticket, now cherrykeel.Instant) *member {
	if ticket.Key == cherrykeel.NoKey {
		return owned.keyless.chooseUpstream(ticket, now)
	}
	owner := owned.owner(ticket)
	member, known := owned.service.members[owner.ID]
	if !known || owner.InTransfer || !member.isAvailable(now) || !owned.canSend(member, now) {
		return nil
	}
	// What the owner would answer after the deadline is work lost there, while others wait for it.
	if ticket.expiresWithin(member.expectedTime(owned.service.meanProcessingTime(), now), now) {
		return nil
	}
	return member
}

// findOpenOwner returns the upstream that has the ticket's key, unless it gets nothing any more: then the key waits for
// the next owner, as one does that has none.
func (owned *owned) findOpenOwner(ticket *Ticket, now cherrykeel.Instant) (*member, bool) {
	member, known := owned.service.members[owned.owner(ticket).ID]
	return member, known && !member.isClosed(now)
}

// canSend reports whether this host may send one more request to an owner. While requests wait anywhere each
// host has a share of the owner's room, by what it has running and waiting. Without shares whoever gets an
// answer sends the next request at once, so that a host without a running one waits until its requests are
// given up, and several hosts that see the same free slot all send. In the played load of 150 requests a second
// for 158 that an owner can do, 96% are answered within their target in place of 92%.
//
// A cold owner gets no more than its slots take: any host may have the next request for a key, so that none has a part of
// what it bears, and the work of keys is long enough for its slots to bound that.
func (owned *owned) canSend(member *member, now cherrykeel.Instant) bool {
	if member.upstream.IsColdLimited(now) && member.load() >= member.upstream.Slots {
		return false
	}
	waiting := owned.waitingCounts[member.upstream.ID]
	if waiting+member.remoteWaiting == 0 || member.load() < member.upstream.Slots {
		return member.load() < member.limit()
	}
	local := float64(member.localLoad + max(1, waiting))
	total := local + float64(member.remoteLoad+member.remoteWaiting)
	share := float64(member.limit()) * local / total
	if share >= minShare {
		return float64(member.localLoad) < share
	}
	return member.localLoad == 0 && owned.hasWonSlot(member, max(1, waiting))
}

// slotSample is one draw for a place at an owner.
type slotSample struct {
	sampled, won bool
}

// hasWonSlot reports whether this host's requests get one of an owner's free places. Hosts of which each waits with one
// request and whose shares are less than one request each draw once for each count, by the free places over all
// that wait, so that about as many send as there is room for. When each might have one there whatever its share, an
// owner of 3 slots had 17 requests of 195 hosts, beyond its own queue, and reset what came next. In the played load
// of 3.5 requests a second for 2.3 that it can do, 58% are answered in time in place of 44%, and it rejects none in
// place of 10%.
func (owned *owned) hasWonSlot(member *member, waiting int) bool {
	free := member.limit() + extraSampledSlots - member.load()
	if free <= 0 {
		return false
	}
	if !member.slotSample.sampled {
		chance := float64(free) * float64(waiting) / float64(waiting+member.remoteWaiting)
		member.slotSample = slotSample{sampled: true, won: owned.service.random() < chance}
	}
	return member.slotSample.won
}

func (owned *owned) countAhead(ticket *Ticket) int {
	owner := owned.owner(ticket).ID
	ahead := 0
	for _, other := range owned.service.waiting {
		if other.isBefore(ticket) && owned.owner(other).ID == owner {
			ahead++
		}
	}
	member, known := owned.service.members[owner]
	if known {
		ahead += member.remoteWaiting
	}
	return ahead
}

func (owned *owned) estimateTimeToAnswer(ticket *Ticket, now cherrykeel.Instant) time.Duration {
	serviceMean := owned.service.meanProcessingTime()
	member, known := owned.service.members[owned.owner(ticket).ID]
	if !known {
		return serviceMean
	}
	return owned.expectedTime(member, owned.countAhead(ticket), serviceMean, now)
}

func (owned *owned) willMissDeadline(ticket *Ticket, now cherrykeel.Instant) bool {
	serviceMean := owned.service.meanProcessingTime()
	member, open := owned.findOpenOwner(ticket, now)
	if open {
		return ticket.expiresWithin(member.expectedProcessingTime(serviceMean, now), now)
	}
	waited := now.Sub(ticket.Arrived)
	maxWait := maxUnownedWaitShare * float64(ticket.Deadline-ticket.Arrived)
	return waited > time.Duration(maxWait) || ticket.expiresWithin(serviceMean, now)
}
