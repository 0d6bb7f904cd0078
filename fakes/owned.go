package fakes

import (
	"net/http"
	"time"

	"cherrykeel"
)

// Ownership is what an upstream holds for one service. It reads no clock and takes no lock.
type Ownership struct {
	incarnation string
	service     string
	fence       cherrykeel.Fence
	until       time.Duration
	partitions  map[int]bool
	hotKeys     map[string]bool
	exceptKeys  map[string]bool
	// inFlight counts requests, so that what is taken away is given up only when they have ended.
	inFlight map[Work]int
	// lapses counts the leases that have ended and were followed by another.
	lapses int
}

// Work is a request that an upstream has begun.
type Work struct {
	partition int
	key       string
	// lapses names the lease under which it began.
	lapses int
}

// NewOwnership returns an ownership of nothing; boot names the upstream's process.
func NewOwnership(incarnation, service string) *Ownership {
	return &Ownership{
		incarnation: incarnation,
		service:     service,
		partitions:  map[int]bool{},
		hotKeys:     map[string]bool{},
		exceptKeys:  map[string]bool{},
		inFlight:    map[Work]int{},
	}
}

// Owns reports whether the upstream may act for a key at its own time now.
func (ownership *Ownership) Owns(now time.Duration, partition int, key string) bool {
	return now < ownership.until && ownership.isGranted(partition, key)
}

// isGranted reports whether the last grant names the key, alone or with its partition.
func (ownership *Ownership) isGranted(partition int, key string) bool {
	if ownership.hotKeys[key] {
		return true
	}
	return ownership.partitions[partition] && !ownership.exceptKeys[key]
}

// Begin counts a request until End.
func (ownership *Ownership) Begin(partition int, key string) Work {
	work := Work{partition: partition, key: key, lapses: ownership.lapses}
	ownership.inFlight[work]++
	return work
}

// End ends a request that Begin has counted.
func (ownership *Ownership) End(work Work) {
	ownership.inFlight[work]--
	if ownership.inFlight[work] == 0 {
		delete(ownership.inFlight, work)
	}
}

// Lapsed reports whether the lease under which work began has ended at the upstream's own time now. It stays
// so when another lease begins: the key may have had another owner in between, whose work this would undo.
func (ownership *Ownership) Lapsed(work Work, now time.Duration) bool {
	return work.lapses != ownership.lapses || now >= ownership.until
}

// Term returns the term of the newest grant.
func (ownership *Ownership) Term() int64 {
	return ownership.fence.Term
}

// Grant takes a grant, or refuses it if it is for another process or has an old fence.
func (ownership *Ownership) Grant(grant cherrykeel.Grant, now time.Duration) cherrykeel.Holding {
	reason := ""
	switch {
	case grant.Incarnation != ownership.incarnation:
		reason = "the grant is for another start of this process"
	case grant.Fence.Less(ownership.fence):
		reason = "the fence is older than the one held"
	default:
		ownership.apply(now, grant)
	}
	holding := ownership.Holding(now)
	holding.Accepted = reason == ""
	holding.Reason = reason
	return holding
}

func (ownership *Ownership) apply(now time.Duration, grant cherrykeel.Grant) {
	lapsed := now >= ownership.until
	ownership.fence = grant.Fence
	ownership.until = grant.Until
	if grant.Partial && !lapsed {
		return
	}
	if lapsed {
		ownership.lapses++
	}
	// A lapsed lease has nothing left to extend: others may own its keys by now.
	ownership.partitions = map[int]bool{}
	for _, partition := range grant.Partitions {
		ownership.partitions[partition] = true
	}
	ownership.hotKeys = stringSet(grant.HotKeys)
	ownership.exceptKeys = stringSet(grant.ExceptKeys)
}

func stringSet(list []string) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, text := range list {
		set[text] = true
	}
	return set
}

// Holding lists what is owned, and what has been taken away but is still worked on.
func (ownership *Ownership) Holding(now time.Duration) cherrykeel.Holding {
	holding := cherrykeel.Holding{
		Service:     ownership.service,
		Incarnation: ownership.incarnation,
		Now:         now,
		Fence:       ownership.fence,
		Until:       ownership.until,
	}
	for partition := range ownership.partitions {
		holding.Partitions = append(holding.Partitions, partition)
	}
	for key := range ownership.hotKeys {
		holding.HotKeys = append(holding.HotKeys, key)
	}
	for work := range ownership.inFlight {
		if ownership.Lapsed(work, now) || ownership.isGranted(work.partition, work.key) {
			// What outlasted its lease takes no effect any more, and others may have the key.
			continue
		}
		if !ownership.partitions[work.partition] {
			holding.Partitions = append(holding.Partitions, work.partition)
		}
		// The key may go to the owner of its partition, which need not change for that.
		holding.HotKeys = append(holding.HotKeys, work.key)
	}
	for key := range ownership.exceptKeys {
		holding.ExceptKeys = append(holding.ExceptKeys, key)
	}
	return holding
}

func (upstream *Upstream) grant(writer http.ResponseWriter, request *http.Request) {
	upstream.waitWhileFrozen()
	var grant cherrykeel.Grant
	if !readJSON(writer, request, &grant) {
		return
	}
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	holding := upstream.ownershipOf(grant.Service).Grant(grant, upstream.now())
	if holding.Accepted && !grant.Partial {
		upstream.options.Registers.forget(upstream)
	}
	writeJSON(writer, holding)
}

func (upstream *Upstream) holding(writer http.ResponseWriter, request *http.Request) {
	upstream.waitWhileFrozen()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	writeJSON(writer, upstream.ownershipOf(request.URL.Query().Get("service")).Holding(upstream.now()))
}

func (upstream *Upstream) ownershipOf(service string) *Ownership {
	held, exists := upstream.services[service]
	if !exists {
		held = NewOwnership(upstream.incarnation, service)
		upstream.services[service] = held
	}
	return held
}
