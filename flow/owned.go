package flow

import (
	"time"

	"cherrykeel"
)

// leastShare is the share of an owner's room, in requests, below which hosts draw. Above it all that wait have at most
// three times the owner's room there together, which its own queue takes; drawn for there too, requests at 8 to 11
// hosts waited for counts, and four of nine paired days were worth 0.004 to 0.016 less, one 0.004 more.
const leastShare = 1.0 / 3

// drawnAhead is how many places are drawn for beyond an owner's limit: some that have drawn one have no request left
// when the counts are known, and a slot would stay free until the next ones, 160 ms later.
const drawnAhead = 1

// noOwnerPatience is the share of its time that a request waits for its key to get an owner.
const noOwnerPatience = 0.5

// owned lets requests wait for the one upstream that has their key.
type owned struct {
	service *Service
	find    func(key int) Owner
	// keyless takes requests without a key, which any upstream may refuse.
	keyless *shared
	// queued counts this host's waiting requests by owner, as of the last count.
	queued map[string]int
	// unowned is the queue of requests whose key has no owner that is known.
	unowned standing
}

func (owned *owned) changed() {
	owned.keyless.changed()
}

func (owned *owned) count() {
	owned.queued = owned.waitingFor()
}

func (owned *owned) setOthers(int) {}

// observe lets a host know of a queue that stands at an owner though it has sent it nothing for long. Among 195
// hosts each has one request for an owner in a minute; while only a host's own requests told it that a queue stands,
// none knew, and all queues grew as far as deadlines allow.
func (owned *owned) observe(now cherrykeel.Instant) {
	if owned.service.target == 0 {
		return
	}
	usual := owned.service.usual()
	for _, member := range owned.service.members {
		if member.otherWaiting > 0 || member.standing.stands {
			member.standing.watch(owned.expected(member, member.otherWaiting, usual, now), owned.service.target, now)
		}
	}
}

// expected is how long a request takes that comes behind others that wait for an owner.
func (owned *owned) expected(member *member, ahead int, usual time.Duration, now cherrykeel.Instant) time.Duration {
	work := member.workTime(usual, now)
	turns := float64(ahead+1+max(0, member.load()-member.upstream.Slots)) / float64(member.upstream.Slots)
	return time.Duration(turns*float64(work)) + work
}

func (owned *owned) waitingFor() map[string]int {
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
	return owned.find(ticket.Key)
}

func (owned *owned) rivals(one, other *Ticket) bool {
	return owned.owner(one).ID == owned.owner(other).ID
}

func (owned *owned) standing(ticket *Ticket) *standing {
	member, known := owned.service.members[owned.owner(ticket).ID]
	if !known {
		return &owned.unowned
	}
	return &member.standing
}

// trial returns the key's owner, unless this host has sent it something lately whose answer will tell.
func (owned *owned) trial(ticket *Ticket, now cherrykeel.Instant) *member {
	if ticket.Key == cherrykeel.NoKey {
		return owned.keyless.trial(ticket, now)
	}
	owner := owned.owner(ticket)
	member, known := owned.service.members[owner.ID]
	if !known || owner.InTransfer || !member.reachable(now) || !owned.hasTurn(member, now) || !member.quiet(now) {
		return nil
	}
	if !member.ruledOut(ticket, owned.service.usual(), now) {
		return nil
	}
	return member
}

func (owned *owned) place(ticket *Ticket, now cherrykeel.Instant) *member {
	if ticket.Key == cherrykeel.NoKey {
		return owned.keyless.place(ticket, now)
	}
	owner := owned.owner(ticket)
	member, known := owned.service.members[owner.ID]
	if !known || owner.InTransfer || !member.reachable(now) || !owned.hasTurn(member, now) {
		return nil
	}
	// What the owner would answer after the deadline is work lost there, while others wait for it.
	if ticket.outlasts(member.expected(owned.service.usual(), now), now) {
		return nil
	}
	return member
}

// openOwner returns the upstream that has the ticket's key, unless it gets nothing any more: then the key waits for
// the next owner, as one does that has none.
func (owned *owned) openOwner(ticket *Ticket, now cherrykeel.Instant) (*member, bool) {
	member, known := owned.service.members[owned.owner(ticket).ID]
	return member, known && !member.closed(now)
}

// hasTurn reports whether this host may send one more request to an owner. While requests wait anywhere each
// host has a share of the owner's room, by what it has running and waiting. Without shares whoever gets an
// answer sends the next request at once, so that a host without a running one waits until its requests are
// given up, and several hosts that see the same free slot all send. In the played load of 150 requests a second
// for 158 that an owner can do, 96% are answered within their target in place of 92%.
//
// A cold owner gets no more than its slots take: any host may have the next request for a key, so that none has a part of
// what it bears, and the work of keys is long enough for its slots to bound that.
func (owned *owned) hasTurn(member *member, now cherrykeel.Instant) bool {
	if member.upstream.IsColdLimited(now) && member.load() >= member.upstream.Slots {
		return false
	}
	waiting := owned.queued[member.upstream.ID]
	if waiting+member.otherWaiting == 0 || member.load() < member.upstream.Slots {
		return member.load() < member.limit()
	}
	own := float64(member.own + max(1, waiting))
	all := own + float64(member.others+member.otherWaiting)
	share := float64(member.limit()) * own / all
	if share >= leastShare {
		return float64(member.own) < share
	}
	return member.own == 0 && owned.drawn(member, max(1, waiting))
}

// turn is one draw for a place at an owner.
type turn struct {
	drawn, won bool
}

// drawn reports whether this host's requests get one of an owner's free places. Hosts of which each waits with one
// request and whose shares are less than one request each draw once for each count, by the free places over all
// that wait, so that about as many send as there is room for. When each might have one there whatever its share, an
// owner of 3 slots had 17 requests of 195 hosts, beyond its own queue, and reset what came next. In the played load
// of 3.5 requests a second for 2.3 that it can do, 58% are answered in time in place of 44%, and it rejects none in
// place of 10%.
func (owned *owned) drawn(member *member, waiting int) bool {
	free := member.limit() + drawnAhead - member.load()
	if free <= 0 {
		return false
	}
	if !member.turn.drawn {
		chance := float64(free) * float64(waiting) / float64(waiting+member.otherWaiting)
		member.turn = turn{drawn: true, won: owned.service.random() < chance}
	}
	return member.turn.won
}

func (owned *owned) ahead(ticket *Ticket) int {
	owner := owned.owner(ticket).ID
	ahead := 0
	for _, other := range owned.service.waiting {
		if other.before(ticket) && owned.owner(other).ID == owner {
			ahead++
		}
	}
	member, known := owned.service.members[owner]
	if known {
		ahead += member.otherWaiting
	}
	return ahead
}

func (owned *owned) wait(ticket *Ticket, now cherrykeel.Instant) time.Duration {
	usual := owned.service.usual()
	member, known := owned.service.members[owned.owner(ticket).ID]
	if !known {
		return usual
	}
	return owned.expected(member, owned.ahead(ticket), usual, now)
}

func (owned *owned) hopeless(ticket *Ticket, now cherrykeel.Instant) bool {
	work := owned.service.usual()
	member, open := owned.openOwner(ticket, now)
	if open {
		return ticket.outlasts(member.workTime(work, now), now)
	}
	waited := now.Sub(ticket.Arrived)
	patience := noOwnerPatience * float64(ticket.Deadline-ticket.Arrived)
	return waited > time.Duration(patience) || ticket.outlasts(work, now)
}
