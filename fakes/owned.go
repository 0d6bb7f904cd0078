package fakes

import (
	"net/http"
	"time"

	"cherrykeel"
)

// owned is what an upstream holds for one service.
type owned struct {
	fence      cherrykeel.Fence
	until      time.Duration
	partitions map[int]bool
	hotKeys    map[string]bool
	exceptKeys map[string]bool
	// inFlight counts requests by partition, so that a taken partition is given up only when they have ended.
	inFlight map[int]int
}

func newOwned() *owned {
	return &owned{partitions: map[int]bool{}, hotKeys: map[string]bool{}, exceptKeys: map[string]bool{}, inFlight: map[int]int{}}
}

func (owned *owned) owns(now time.Duration, partition int, key string) bool {
	if now >= owned.until {
		return false
	}
	if owned.hotKeys[key] {
		return true
	}
	return owned.partitions[partition] && !owned.exceptKeys[key]
}

func (owned *owned) take(now time.Duration, grant cherrykeel.Grant) {
	lapsed := now >= owned.until
	owned.fence = grant.Fence
	owned.until = grant.Until
	if grant.Partial && !lapsed {
		return
	}
	// A lapsed lease has nothing left to extend: others may own its keys by now.
	owned.partitions = map[int]bool{}
	for _, partition := range grant.Partitions {
		owned.partitions[partition] = true
	}
	owned.hotKeys = textSet(grant.HotKeys)
	owned.exceptKeys = textSet(grant.ExceptKeys)
}

func textSet(list []string) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, text := range list {
		set[text] = true
	}
	return set
}

// holding lists what is owned, and what has been taken away but is still worked on.
func (owned *owned) holding(holding *cherrykeel.Holding) {
	for partition := range owned.partitions {
		holding.Partitions = append(holding.Partitions, partition)
	}
	for partition, count := range owned.inFlight {
		if count > 0 && !owned.partitions[partition] {
			holding.Partitions = append(holding.Partitions, partition)
		}
	}
	for key := range owned.hotKeys {
		holding.HotKeys = append(holding.HotKeys, key)
	}
	for key := range owned.exceptKeys {
		holding.ExceptKeys = append(holding.ExceptKeys, key)
	}
}

func (upstream *Upstream) grant(writer http.ResponseWriter, request *http.Request) {
	upstream.frozen()
	var grant cherrykeel.Grant
	if !readJSON(writer, request, &grant) {
		return
	}
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	held := upstream.owned(grant.Service)
	reason := ""
	switch {
	case grant.Boot != upstream.boot:
		reason = "the grant is for another start of this process"
	case grant.Fence.Less(held.fence):
		reason = "the fence is older than the one held"
	default:
		held.take(upstream.now(), grant)
		if !grant.Partial {
			upstream.options.Registers.forget(upstream)
		}
	}
	upstream.answerHolding(writer, grant.Service, reason)
}

func (upstream *Upstream) holding(writer http.ResponseWriter, request *http.Request) {
	upstream.frozen()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.answerHolding(writer, request.URL.Query().Get("service"), "")
}

func (upstream *Upstream) answerHolding(writer http.ResponseWriter, service, reason string) {
	held := upstream.owned(service)
	holding := cherrykeel.Holding{
		Service: service, Boot: upstream.boot, Now: upstream.now(),
		Accepted: reason == "", Reason: reason,
		Fence: held.fence, Until: held.until,
	}
	held.holding(&holding)
	writeJSON(writer, holding)
}

func (upstream *Upstream) owned(service string) *owned {
	held, exists := upstream.services[service]
	if !exists {
		held = newOwned()
		upstream.services[service] = held
	}
	return held
}
