package views

import (
	"strings"
	"time"

	"cherrykeel"
)

// View is a host's lease on sending to one service, and the requests that it sent under it. It is not safe for
// concurrent use.
type View struct {
	incarnation string
	service     string
	fence       cherrykeel.Fence
	leaseEnd    cherrykeel.Instant
	timeout     time.Duration
	owners      []string
	hotKeys     map[string]string
	exceptKeys  map[string]bool
	// inFlight is the number of requests in flight by target. A target counts as held until its requests have ended.
	inFlight map[target]int
	// abandoned is the instant until which upstreams may still work on requests that this host has given up, by target.
	abandoned map[target]cherrykeel.Instant
}

// target is the upstream, partition and key of a request in flight. The key is tracked in addition to its partition: a
// key that becomes hot, or ceases to be, is transferred while its partition stays. If only the partition counted as
// held, two upstreams could run requests for the key at once.
type target struct {
	upstream  string
	partition int
	key       string
}

// New returns a view that allows no requests. incarnation identifies this start of the host's process; grants for
// another one are rejected.
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

// ApplyGrant applies a keeper's grant, unless it is for another incarnation of the host or its fence is older than the
// view's. It returns the resulting holding, with the reason if the grant was rejected.
func (view *View) ApplyGrant(grant cherrykeel.Grant, now cherrykeel.Instant) cherrykeel.Holding {
	reason := ""
	switch {
	case grant.Incarnation != view.incarnation:
		reason = "the grant is for another incarnation of this host"
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
	// A partial grant cannot extend an expired lease, since the keys may have other owners by now. The lease then only
	// covers what the grant itself lists.
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

// Holding returns what the host holds: the targets that it may still send to, and those of requests that may still
// run.
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
	for requestTarget := range view.inFlight {
		view.addTarget(requestTarget, &holding)
	}
	for requestTarget, until := range view.abandoned {
		if now >= until {
			delete(view.abandoned, requestTarget)
			continue
		}
		view.addTarget(requestTarget, &holding)
	}
	for key := range view.exceptKeys {
		holding.ExceptKeys = append(holding.ExceptKeys, key)
	}
	return holding
}

// addTarget adds a request's target to a holding, unless the grant covers it already.
func (view *View) addTarget(requestTarget target, holding *cherrykeel.Holding) {
	if view.grantedOwner(requestTarget.partition, requestTarget.key) == requestTarget.upstream {
		return
	}
	partition := requestTarget.partition
	if partition >= len(view.owners) || view.owners[partition] != requestTarget.upstream {
		holding.Owners[requestTarget.upstream] = append(holding.Owners[requestTarget.upstream], partition)
	}
	holding.HotKeys = append(holding.HotKeys, requestTarget.upstream+" "+requestTarget.key)
}

// grantedOwner returns the upstream that the last grant names for a key, or an empty string.
func (view *View) grantedOwner(partition int, key string) string {
	owner := view.hotKeys[key]
	if owner == "" && !view.exceptKeys[key] && partition < len(view.owners) {
		owner = view.owners[partition]
	}
	return owner
}

// Owner returns the upstream that a request for a key may be sent to now, and false if there is none or the lease has
// ended.
func (view *View) Owner(partition int, key string, now cherrykeel.Instant) (string, bool) {
	if now >= view.leaseEnd || partition < 0 || partition >= len(view.owners) {
		return "", false
	}
	owner := view.grantedOwner(partition, key)
	return owner, owner != ""
}

// LimitDeadline returns the deadline of a request that is sent now: the given one, but at most the grant's timeout from
// now. If the host becomes unavailable, the keeper relies on that timeout when it waits for the host's requests to end.
func (view *View) LimitDeadline(deadline, now cherrykeel.Instant) cherrykeel.Instant {
	if view.timeout == 0 {
		return deadline
	}
	return min(deadline, now.Add(view.timeout))
}

// StartRequest is like Owner, and counts the request as in flight until FinishRequest or AbandonRequest.
func (view *View) StartRequest(partition int, key string, now cherrykeel.Instant) (string, bool) {
	owner, allowed := view.Owner(partition, key, now)
	if allowed {
		view.inFlight[target{upstream: owner, partition: partition, key: key}]++
	}
	return owner, allowed
}

// AbandonRequest ends a request that StartRequest counted and that the host gave up, so that the upstream may still
// work on it until the given instant. Until then its target counts as held, so that the key gets no other owner.
func (view *View) AbandonRequest(upstream string, partition int, key string, until cherrykeel.Instant) {
	view.FinishRequest(upstream, partition, key)
	ended := target{upstream: upstream, partition: partition, key: key}
	view.abandoned[ended] = max(view.abandoned[ended], until)
}

// ClearGrant ends the lease, for a change of the number of partitions. It keeps the fence and the requests in flight:
// without them the view would accept outdated grants and report that no request is running.
func (view *View) ClearGrant(partitions int) {
	view.leaseEnd = 0
	view.owners = make([]string, partitions)
	view.hotKeys = map[string]string{}
	view.exceptKeys = map[string]bool{}
}

// FinishRequest ends a request that StartRequest counted and that its upstream no longer works on.
func (view *View) FinishRequest(upstream string, partition int, key string) {
	ended := target{upstream: upstream, partition: partition, key: key}
	view.inFlight[ended]--
	if view.inFlight[ended] <= 0 {
		delete(view.inFlight, ended)
	}
}
