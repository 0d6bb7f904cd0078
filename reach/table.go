package reach

import (
	"sort"
	"time"

	"cherrykeel"
)

const (
	// headStart is how long a direct connection is tried before other hosts are asked. It takes a round trip, 1 to 3 ms,
	// and a busy host notices it late.
	headStart = 60 * time.Millisecond
	// suspectHeadStart is the head start while another address is out of reach.
	suspectHeadStart = 10 * time.Millisecond
	// suspectTime is how long a miss at one address makes the links to all others suspect.
	suspectTime = time.Second
	// missesUntilLost is how many misses in a row show that the link to an address is lost and not only slow.
	missesUntilLost = 2
	// directInterval is the time between direct attempts at an address whose link is lost. It varies by directJitter, so
	// that hosts that have lost their links together do not try all at once.
	directInterval = time.Second
	directJitter   = 0.2
	// minClosedTime is how long no connection is tried after neither this host nor those that it asked could open one; it
	// doubles with each further failure, up to maxClosedTime.
	minClosedTime = 200 * time.Millisecond
	maxClosedTime = 2 * time.Second
	// refusedTime is for how long a refusal that other hosts have confirmed is not confirmed again.
	refusedTime = time.Second
	// closedTime is for how long after an upstream has closed a connection under a request a refusal is its own: links that
	// are cut reset connections or bring nothing, and only a process that ends closes them.
	closedTime = time.Second
	// forgetTime is how long an address without a connection attempt is remembered.
	forgetTime = time.Minute
)

// Plan is how a connection to an address is opened. A plan with neither Direct nor Tunnel means that no attempt is made.
type Plan struct {
	// Direct means that this host connects itself, and Tunnel that it asks other hosts.
	Direct bool
	Tunnel bool
	// HeadStart is how long the direct attempt is given before other hosts are asked as well.
	HeadStart time.Duration
}

// Change is what an attempt has changed in the state of an address.
type Change int

// The changes of an address's state.
const (
	// Unchanged means that the address is reached as before.
	Unchanged Change = iota
	// Lost means that this host does not reach the address itself any more.
	Lost
	// Restored means that it does again.
	Restored
)

// path is the state of one address.
type path struct {
	// misses counts consecutive connections that another host opened and this one could not.
	misses int
	// lost means that this host does not reach the address itself; lostAt is since when, and directAt from when it tries
	// again.
	lost     bool
	lostAt   cherrykeel.Instant
	directAt cherrykeel.Instant
	// failures counts consecutive attempts that neither this host nor another one could complete.
	failures    int
	closedUntil cherrykeel.Instant
	// untold means that no host could tell about the upstream itself when it was tried last.
	untold bool
	// refusedUntil is until when the address is known to refuse connections from every host.
	refusedUntil cherrykeel.Instant
	// closedAt is when the process at the address last closed a connection under a request.
	closedAt cherrykeel.Instant
	// ended means that the process at the address was found to have ended, and that no connection was opened since.
	ended  bool
	usedAt cherrykeel.Instant
}

// miss is the newest miss of an address.
type miss struct {
	address string
	at      cherrykeel.Instant
}

// Table holds how this host reaches the addresses of upstreams. It is not safe for concurrent use.
type Table struct {
	paths map[string]*path
	// lastMisses are the newest misses of two different addresses, the newest first.
	lastMisses [2]miss
	// untoldUntil is the end of the longest time for which an address is closed that no host could tell about.
	untoldUntil cherrykeel.Instant
	// random returns a number in [0, 1).
	random func() float64
}

// NewTable returns a table in which every address is reached directly.
func NewTable(random func() float64) *Table {
	return &Table{paths: map[string]*path{}, random: random}
}

func (table *Table) path(address string, now cherrykeel.Instant) *path {
	found, known := table.paths[address]
	if !known {
		found = &path{}
		table.paths[address] = found
	}
	found.usedAt = now
	return found
}

// Plan returns how the next connection to an address is opened.
func (table *Table) Plan(address string, now cherrykeel.Instant) Plan {
	path := table.path(address, now)
	if now < path.closedUntil {
		return Plan{}
	}
	return table.planPath(path, address, now)
}

// PlanOrder is Plan for a connection that carries orders only. It does not wait until a closed address is open again: an
// owner without a renewal loses its keys, and callers' attempts may close an address time and again.
func (table *Table) PlanOrder(address string, now cherrykeel.Instant) Plan {
	return table.planPath(table.path(address, now), address, now)
}

// planPath plans a connection regardless of whether its address is closed.
func (table *Table) planPath(path *path, address string, now cherrykeel.Instant) Plan {
	switch {
	case path.lost && now < path.directAt:
		return Plan{Tunnel: true}
	case path.lost:
		path.directAt = now.Add(table.directPause())
		return Plan{Direct: true, Tunnel: true}
	case now < path.refusedUntil:
		return Plan{Direct: true}
	case table.isSuspect(address, now):
		return Plan{Direct: true, Tunnel: true, HeadStart: suspectHeadStart}
	default:
		return Plan{Direct: true, Tunnel: true, HeadStart: headStart}
	}
}

// TakeDue returns up to limit addresses whose links are lost and that are due for a direct attempt, which the caller
// then makes. Those that have waited longest come first.
func (table *Table) TakeDue(limit int, now cherrykeel.Instant) []string {
	var due []string
	for address, path := range table.paths {
		if path.lost && now >= path.directAt {
			due = append(due, address)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		first, second := table.paths[due[i]], table.paths[due[j]]
		if first.directAt != second.directAt {
			return first.directAt < second.directAt
		}
		return due[i] < due[j]
	})
	due = due[:min(len(due), limit)]
	for _, address := range due {
		table.paths[address].directAt = now.Add(table.directPause())
	}
	return due
}

func (table *Table) directPause() time.Duration {
	return time.Duration(float64(directInterval) * (1 - directJitter + 2*directJitter*table.random()))
}

// isSuspect reports whether another address than the given one was missed lately, so that the cause is rather this
// host's links than one upstream.
func (table *Table) isSuspect(address string, now cherrykeel.Instant) bool {
	for _, miss := range table.lastMisses {
		if miss.at != 0 && miss.address != address && now.Sub(miss.at) < suspectTime && table.IsMissed(miss.address) {
			return true
		}
	}
	return false
}

// RecordConnected records that this host has connected to an address itself.
func (table *Table) RecordConnected(address string, now cherrykeel.Instant) Change {
	path := table.path(address, now)
	path.misses, path.failures = 0, 0
	path.ended, path.untold = false, false
	path.closedUntil, path.refusedUntil = 0, 0
	if !path.lost {
		return Unchanged
	}
	path.lost = false
	return Restored
}

// RecordMiss records that another host has opened a connection that this one could not open: it was refused, or did not
// succeed in time. A refusal is certain; silence may be a lost packet.
func (table *Table) RecordMiss(address string, refused bool, now cherrykeel.Instant) Change {
	path := table.path(address, now)
	path.misses++
	table.rememberMiss(address, now)
	path.failures = 0
	path.ended = false
	path.closedUntil, path.refusedUntil = 0, 0
	table.reopenUntold(now)
	path.directAt = now.Add(table.directPause())
	if path.lost || !refused && path.misses < missesUntilLost && !table.isSuspect(address, now) {
		return Unchanged
	}
	path.lost = true
	path.lostAt = now
	return Lost
}

func (table *Table) rememberMiss(address string, now cherrykeel.Instant) {
	if table.lastMisses[0].address != address {
		table.lastMisses[1] = table.lastMisses[0]
	}
	table.lastMisses[0] = miss{address: address, at: now}
}

// RecordTunneled records that another host has opened a connection where this one did not try.
func (table *Table) RecordTunneled(address string, now cherrykeel.Instant) {
	path := table.path(address, now)
	path.failures = 0
	table.reopenUntold(now)
}

// reopenUntold ends the time for which addresses are closed that no host could tell about: one is known now that opens
// connections.
func (table *Table) reopenUntold(now cherrykeel.Instant) {
	if now >= table.untoldUntil {
		return
	}
	table.untoldUntil = 0
	for _, path := range table.paths {
		if path.untold {
			path.closedUntil = 0
		}
	}
}

// RecordUnreached records that neither this host nor those that it asked could connect to an address, and reports
// whether that is new. The time for which the address is closed grows only while hosts that reach other upstreams say
// so, or this host's own links work: else links are the cause, its own or of those that were asked.
func (table *Table) RecordUnreached(address string, replies Replies, own Links, now cherrykeel.Instant) bool {
	path := table.path(address, now)
	path.failures++
	path.untold = replies.telling() == 0 && own == LinksLost
	if path.untold {
		path.closedUntil = now.Add(minClosedTime)
		table.untoldUntil = max(table.untoldUntil, path.closedUntil)
		return path.failures == 1
	}
	path.closedUntil = now.Add(min(minClosedTime<<min(path.failures-1, 4), maxClosedTime))
	return path.failures == 1
}

// RecordRefused records that no process listens at an address. A host that reaches the address itself goes on trying: a
// refusal comes at once, and an upstream may have started again.
func (table *Table) RecordRefused(address string, now cherrykeel.Instant) {
	path := table.path(address, now)
	path.ended = true
	if path.lost {
		table.RecordUnreached(address, Replies{Refused: 1}, LinksUnknown, now)
		return
	}
	path.misses = 0
	path.refusedUntil = now.Add(refusedTime)
}

// IsProcessEnd reports whether a refused connection shows that no process listens at the address: most other hosts whose
// links work have been refused as well. What hosts say that have not checked their links counts only as long as this
// host's own all work as far as it can tell, and where no other host answered, its own have to work.
func (table *Table) IsProcessEnd(address string, replies Replies, own Links, now cherrykeel.Instant) bool {
	switch {
	case replies.Refused > 0 || replies.Unreached > 0:
		return replies.Refused > replies.Unreached
	case own == LinksProven:
		return true
	case own == LinksLost || own == LinksPartial:
		return false
	case replies.Unchecked > 0:
		return replies.Unchecked > replies.Missing
	case replies.Missing > 0:
		return false
	default:
		return own == LinksWork || !table.isSuspect(address, now) && len(table.Lost()) == 0
	}
}

// RecordEnd records that the process at an address was found to have ended when another host asked for it.
func (table *Table) RecordEnd(address string, now cherrykeel.Instant) {
	table.path(address, now).ended = true
}

// RecordClosed records that the process at an address has closed a direct connection under a request.
func (table *Table) RecordClosed(address string, now cherrykeel.Instant) {
	table.path(address, now).closedAt = now
}

// WasClosed reports whether the process at an address has closed a direct connection under a request a moment ago.
func (table *Table) WasClosed(address string, now cherrykeel.Instant) bool {
	path, known := table.paths[address]
	return known && path.wasClosed(now)
}

func (path *path) wasClosed(now cherrykeel.Instant) bool {
	return path.closedAt != 0 && now.Sub(path.closedAt) < closedTime
}

// Ended returns the addresses whose process has ended, as far as this host knows, or may have ended a moment ago.
func (table *Table) Ended(now cherrykeel.Instant) map[string]bool {
	ended := map[string]bool{}
	for address, path := range table.paths {
		if path.ended || path.wasClosed(now) {
			ended[address] = true
		}
	}
	return ended
}

// ClosedFor returns for how long no connection to an address is tried, since no host is known that reaches it.
func (table *Table) ClosedFor(address string, now cherrykeel.Instant) time.Duration {
	path, known := table.paths[address]
	if !known {
		return 0
	}
	return max(0, path.closedUntil.Sub(now))
}

// IsUntold reports whether neither this host nor those that it asked could tell about an upstream when they could not
// connect to it last: their own links are lost.
func (table *Table) IsUntold(address string) bool {
	path, known := table.paths[address]
	return known && path.untold && path.failures > 0
}

// IsLost reports whether this host does not reach an address itself.
func (table *Table) IsLost(address string) bool {
	path, known := table.paths[address]
	return known && path.lost
}

// IsMissed reports whether this host has not connected to an address itself since another host opened what it could not.
func (table *Table) IsMissed(address string) bool {
	path, known := table.paths[address]
	return known && path.misses > 0
}

// LostFor returns how long this host has not reached an address itself, or 0.
func (table *Table) LostFor(address string, now cherrykeel.Instant) time.Duration {
	if !table.IsLost(address) {
		return 0
	}
	return now.Sub(table.paths[address].lostAt)
}

// Lost returns the addresses that this host does not reach itself, sorted.
func (table *Table) Lost() []string {
	var lost []string
	for address, path := range table.paths {
		if path.lost {
			lost = append(lost, address)
		}
	}
	sort.Strings(lost)
	return lost
}

// Retain forgets addresses that no upstream has any more, and those that were not used for a while.
func (table *Table) Retain(isListed func(address string) bool, now cherrykeel.Instant) {
	for address, path := range table.paths {
		if !isListed(address) || now.Sub(path.usedAt) > forgetTime {
			delete(table.paths, address)
		}
	}
}
