package fakes

import (
	"net/http"
	"time"

	"cherrykeel"
)

// Ownership is an upstream's side of the lease protocol for one service: the keys granted to it and the requests that
// use them. It reads no clock, callers pass the upstream's own time, and it is not safe for concurrent use.
type Ownership struct {
	incarnation string
	service     string
	fence       cherrykeel.Fence
	// until is the end of the lease, by the upstream's own time.
	until      time.Duration
	partitions map[int]bool
	hotKeys    map[string]bool
	exceptKeys map[string]bool
	// inFlight counts running requests. Keys that a new grant no longer names count as held until their requests end.
	inFlight map[Work]int
	// lapses counts the leases that lapsed before the next grant arrived. It distinguishes the current lease from them.
	lapses int
}

// Work identifies a running request by its partition, its key and the lease under which it began.
type Work struct {
	partition int
	key       string
	// lapses is Ownership.lapses at the time when the request began.
	lapses int
}

// NewOwnership returns an ownership without keys; incarnation identifies the upstream's process.
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

// Owns reports whether the lease is valid at the upstream's own time now and covers the key.
func (ownership *Ownership) Owns(now time.Duration, partition int, key string) bool {
	return now < ownership.until && ownership.isGranted(partition, key)
}

// isGranted reports whether the last full grant covers the key, as a hot key or by its partition.
func (ownership *Ownership) isGranted(partition int, key string) bool {
	if ownership.hotKeys[key] {
		return true
	}
	return ownership.partitions[partition] && !ownership.exceptKeys[key]
}

// Begin counts a request as running until End is called with the returned value.
func (ownership *Ownership) Begin(partition int, key string) Work {
	work := Work{partition: partition, key: key, lapses: ownership.lapses}
	ownership.inFlight[work]++
	return work
}

// End stops counting a request that Begin has counted.
func (ownership *Ownership) End(work Work) {
	ownership.inFlight[work]--
	if ownership.inFlight[work] == 0 {
		delete(ownership.inFlight, work)
	}
}

// Lapsed reports whether the lease under which the request began has ended at the upstream's own time now. A new lease
// does not change that: another upstream may have owned the key in between, and the request would overwrite its changes.
func (ownership *Ownership) Lapsed(work Work, now time.Duration) bool {
	return work.lapses != ownership.lapses || now >= ownership.until
}

// Term returns the term of the newest accepted grant.
func (ownership *Ownership) Term() int64 {
	return ownership.fence.Term
}

// Grant applies a grant, or refuses it if it is for another incarnation or its fence is lower than the current one. The
// result has the reason for a refusal, and what is held afterwards.
func (ownership *Ownership) Grant(grant cherrykeel.Grant, now time.Duration) cherrykeel.Holding {
	reason := ""
	switch {
	case grant.Incarnation != ownership.incarnation:
		reason = "the grant is for another incarnation of this process"
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

// apply replaces fence, lease and keys by those of a grant. A partial grant only extends a valid lease.
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
	// The keys of a lapsed lease may have other owners by now, so even a partial grant replaces them.
	ownership.partitions = map[int]bool{}
	for _, partition := range grant.Partitions {
		ownership.partitions[partition] = true
	}
	ownership.hotKeys = stringSet(grant.HotKeys)
	ownership.exceptKeys = stringSet(grant.ExceptKeys)
}

// stringSet returns the list as a set.
func stringSet(list []string) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, text := range list {
		set[text] = true
	}
	return set
}

// Holding returns what the upstream holds at its own time now: the granted keys, and keys that the last grant no longer
// names but that running requests still use.
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
			// A request whose lease has lapsed no longer takes effect, and one for a granted key is already listed.
			continue
		}
		if !ownership.partitions[work.partition] {
			holding.Partitions = append(holding.Partitions, work.partition)
		}
		// The key is listed by itself too: a hot key can be transferred to its partition's owner while the partition
		// stays where it is.
		holding.HotKeys = append(holding.HotKeys, work.key)
	}
	for key := range ownership.exceptKeys {
		holding.ExceptKeys = append(holding.ExceptKeys, key)
	}
	return holding
}

// grant handles a grant from a keeper. A full grant also drops the upstream's copies of register values.
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

// holding handles a request for what the upstream holds of a service.
func (upstream *Upstream) holding(writer http.ResponseWriter, request *http.Request) {
	upstream.waitWhileFrozen()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	writeJSON(writer, upstream.ownershipOf(request.URL.Query().Get("service")).Holding(upstream.now()))
}

// ownershipOf returns the ownership for a service and creates it if needed; the caller holds the mutex.
func (upstream *Upstream) ownershipOf(service string) *Ownership {
	ownership, exists := upstream.services[service]
	if !exists {
		ownership = NewOwnership(upstream.incarnation, service)
		upstream.services[service] = ownership
	}
	return ownership
}
