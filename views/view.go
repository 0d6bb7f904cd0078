package views

import (
	"strings"

	"cherrykeel"
)

// View is what a host may send for one service. It is not safe for use by several goroutines.
type View struct {
	boot    string
	service string
	fence   cherrykeel.Fence
	until   cherrykeel.Instant
	owners  []string
	hotKeys map[string]string
	except  map[string]bool
	// inFlight counts requests by upstream and partition, so that a partition counts as held until they have ended.
	inFlight map[string]map[int]int
}

// New returns a view that allows nothing; boot names the host's process.
func New(boot, service string, partitions int) *View {
	return &View{
		boot:     boot,
		service:  service,
		owners:   make([]string, partitions),
		hotKeys:  map[string]string{},
		except:   map[string]bool{},
		inFlight: map[string]map[int]int{},
	}
}

// Grant takes a keeper's grant, if its fence is not older than the one held.
func (view *View) Grant(grant cherrykeel.Grant, now cherrykeel.Instant) cherrykeel.Holding {
	reason := ""
	switch {
	case grant.Boot != view.boot:
		reason = "the grant is for another start of this host"
	case grant.Fence.Less(view.fence):
		reason = "the fence is older than the one held"
	default:
		view.take(grant, now)
	}
	holding := view.Holding(now)
	holding.Accepted = reason == ""
	holding.Reason = reason
	return holding
}

func (view *View) take(grant cherrykeel.Grant, now cherrykeel.Instant) {
	lapsed := now >= view.until
	view.fence = grant.Fence
	view.until = cherrykeel.Instant(grant.Until)
	if grant.Partial && !lapsed {
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
	view.except = map[string]bool{}
	for _, key := range grant.ExceptKeys {
		view.except[key] = true
	}
}

// Holding says what the host may still send, or has sent without an answer yet.
func (view *View) Holding(now cherrykeel.Instant) cherrykeel.Holding {
	holding := cherrykeel.Holding{
		Service: view.service,
		Boot:    view.boot,
		Now:     now.Sub(0),
		Fence:   view.fence,
		Until:   view.until.Sub(0),
		Owners:  map[string][]int{},
	}
	for partition, owner := range view.owners {
		if owner != "" {
			holding.Owners[owner] = append(holding.Owners[owner], partition)
		}
	}
	for upstream, counts := range view.inFlight {
		for partition, count := range counts {
			if count > 0 && view.owners[partition] != upstream {
				holding.Owners[upstream] = append(holding.Owners[upstream], partition)
			}
		}
	}
	for key, owner := range view.hotKeys {
		holding.HotKeys = append(holding.HotKeys, owner+" "+key)
	}
	for key := range view.except {
		holding.ExceptKeys = append(holding.ExceptKeys, key)
	}
	return holding
}

// Enter returns the upstream that a request may be sent to now and counts it, or reports false.
func (view *View) Enter(partition int, key string, now cherrykeel.Instant) (string, bool) {
	if now >= view.until || partition < 0 || partition >= len(view.owners) {
		return "", false
	}
	upstream := view.hotKeys[key]
	if upstream == "" && !view.except[key] {
		upstream = view.owners[partition]
	}
	if upstream == "" {
		return "", false
	}
	if view.inFlight[upstream] == nil {
		view.inFlight[upstream] = map[int]int{}
	}
	view.inFlight[upstream][partition]++
	return upstream, true
}

// Leave ends a request that Enter has counted.
func (view *View) Leave(upstream string, partition int) {
	view.inFlight[upstream][partition]--
	if view.inFlight[upstream][partition] == 0 {
		delete(view.inFlight[upstream], partition)
	}
}
