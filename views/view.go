package views

import (
	"strings"
	"time"

	"cherrykeel"
)

// View is what a host may send for one service. It is not safe for use by several goroutines.
type View struct {
	incarnation string
	service     string
	fence       cherrykeel.Fence
	leaseEnd    cherrykeel.Instant
	timeout     time.Duration
	owners      []string
	hotKeys     map[string]string
	exceptKeys  map[string]bool
	// inFlight counts requests, so that what they are for counts as held until they have ended.
	inFlight map[target]int
	// abandoned says until when upstreams may work on requests whose answers nobody waits for any more.
	abandoned map[target]cherrykeel.Instant
}

// target is what a request that waits for its answer is for. The key is counted besides its partition: a
// key that becomes hot, or cools, changes hands while its partition stays, and would else have two upstreams.
type target struct {
	upstream  string
	partition int
	key       string
}

// New returns a view that allows nothing; boot names the host's process.
func New(incarnation, service string, partitions int) *View {
	return &View{
		incarnation: incarnation,
		service:     service,
		owners:      make([]string, partitions),
		hotKeys:     map[string]string{},
		exceptKeys:  map[string]bool{},
		inFlight:    map[target]int{},
		abandoned:   map[target]cherrykeel.Instant{},
	}
}

// ApplyGrant takes a keeper's grant, if its fence is not older than the one held.
func (view *View) ApplyGrant(grant cherrykeel.Grant, now cherrykeel.Instant) cherrykeel.Holding {
	reason := ""
	switch {
	case grant.Incarnation != view.incarnation:
		reason = "the grant is for another start of this host"
	case grant.Fence.Less(view.fence):
		reason = "the fence is older than the one held"
	default:
		view.replaceGrant(grant, now)
	}
	holding := view.Holding(now)
	holding.Accepted = reason == ""
	holding.Reason = reason
	return holding
}

func (view *View) replaceGrant(grant cherrykeel.Grant, now cherrykeel.Instant) {
	expired := now >= view.leaseEnd
	view.fence = grant.Fence
	view.leaseEnd = cherrykeel.Instant(grant.Until)
	view.timeout = grant.Timeout
	if grant.Partial && !expired {
		return
	}
	// A lapsed view has nothing left to extend: the keys may have other owners by now.
	view.owners = make([]string, len(view.owners))
	for upstream, partitions := range grant.Owners {
		for _, partition := range partitions {
			if partition >= 0 && partition < len(view.owners) {
				view.owners[partition] = upstream
			}
		}
	}
	view.hotKeys = map[string]string{}
	for _, entry := range grant.HotKeys {
		owner, key, _ := strings.Cut(entry, " ")
		view.hotKeys[key] = owner
	}
	view.exceptKeys = map[string]bool{}
	for _, key := range grant.ExceptKeys {
		view.exceptKeys[key] = true
	}
}

// Holding says what the host may still send, or has sent without an answer yet.
func (view *View) Holding(now cherrykeel.Instant) cherrykeel.Holding {
	holding := cherrykeel.Holding{
		Service:     view.service,
		Incarnation: view.incarnation,
		Now:         now.Sub(0),
		Fence:       view.fence,
		Until:       view.leaseEnd.Sub(0),
		Owners:      map[string][]int{},
	}
	for partition, owner := range view.owners {
		if owner != "" {
			holding.Owners[owner] = append(holding.Owners[owner], partition)
		}
	}
	for key, owner := range view.hotKeys {
		holding.HotKeys = append(holding.HotKeys, owner+" "+key)
	}
	for flight := range view.inFlight {
		view.addTarget(flight, &holding)
	}
	for flight, until := range view.abandoned {
		if now >= until {
			delete(view.abandoned, flight)
			continue
		}
		view.addTarget(flight, &holding)
	}
	for key := range view.exceptKeys {
		holding.ExceptKeys = append(holding.ExceptKeys, key)
	}
	return holding
}

// addTarget adds to a holding what a request is for, unless the host may still send it there.
func (view *View) addTarget(flight target, holding *cherrykeel.Holding) {
	if view.grantedOwner(flight.partition, flight.key) == flight.upstream {
		return
	}
	partition := flight.partition
	if partition >= len(view.owners) || view.owners[partition] != flight.upstream {
		holding.Owners[flight.upstream] = append(holding.Owners[flight.upstream], partition)
	}
	holding.HotKeys = append(holding.HotKeys, flight.upstream+" "+flight.key)
}

// grantedOwner returns the upstream that the last grant names for a key, or an empty string.
func (view *View) grantedOwner(partition int, key string) string {
	owner := view.hotKeys[key]
	if owner == "" && !view.exceptKeys[key] && partition < len(view.owners) {
		owner = view.owners[partition]
	}
	return owner
}

// Owner returns the upstream that a request may be sent to now, or reports false.
func (view *View) Owner(partition int, key string, now cherrykeel.Instant) (string, bool) {
	if now >= view.leaseEnd || partition < 0 || partition >= len(view.owners) {
		return "", false
	}
	owner := view.grantedOwner(partition, key)
	return owner, owner != ""
}

// LimitDeadline returns the deadline of a request that is sent now, which the keeper counts on if the host is lost.
func (view *View) LimitDeadline(deadline, now cherrykeel.Instant) cherrykeel.Instant {
	if view.timeout == 0 {
		return deadline
	}
	return min(deadline, now.Add(view.timeout))
}

// StartRequest is Owner for a request that is sent at once; it is counted until Leave.
func (view *View) StartRequest(partition int, key string, now cherrykeel.Instant) (string, bool) {
	owner, allowed := view.Owner(partition, key, now)
	if allowed {
		view.inFlight[target{upstream: owner, partition: partition, key: key}]++
	}
	return owner, allowed
}

// AbandonRequest ends a request that Enter has counted and whose upstream may work on it until an instant, since
// it was not the upstream that ended it: the key must not have another owner before.
func (view *View) AbandonRequest(upstream string, partition int, key string, until cherrykeel.Instant) {
	view.FinishRequest(upstream, partition, key)
	ended := target{upstream: upstream, partition: partition, key: key}
	view.abandoned[ended] = max(view.abandoned[ended], until)
}

// ClearGrant takes back what the host may send, for another number of partitions; the fence and the requests
// that are at work stay, so that the host does not pass for one that has just started.
func (view *View) ClearGrant(partitions int) {
	view.leaseEnd = 0
	view.owners = make([]string, partitions)
	view.hotKeys = map[string]string{}
	view.exceptKeys = map[string]bool{}
}

// FinishRequest ends a request that Enter has counted.
func (view *View) FinishRequest(upstream string, partition int, key string) {
	ended := target{upstream: upstream, partition: partition, key: key}
	view.inFlight[ended]--
	if view.inFlight[ended] <= 0 {
		delete(view.inFlight, ended)
	}
}
