package tunnel

import (
	"context"
	"slices"
	"time"

	"cherrykeel"
	"cherrykeel/reach"
)

const (
	// maxSiblings is how many other upstreams are tried to learn whether this host's links work, and enoughSiblings how many
	// have to accept.
	maxSiblings    = 3
	enoughSiblings = 2
	// siblingTimeout bounds the connection to one of them.
	siblingTimeout = 25 * time.Millisecond
	// lostLinksTime is for how long links that were found not to work are not tried again for other hosts.
	lostLinksTime = 300 * time.Millisecond
)

// checkLinks reports whether this host's links to the service of an address work, by connections to other upstreams of
// it: they work if all that are tried accept, and are lost if none does. Otherwise, or if the link to another one is known
// to be lost, they are partial, which tells nothing about the address: an upstream whose process has ended refuses connections as links that are cut do. The result
// that links work is never remembered, since they may have been cut just now.
func (dialer *Dialer) checkLinks(address string) reach.Links {
	if dialer.wasClosed(address) {
		return reach.LinksProven
	}
	upstream, _ := dialer.FindUpstream(address)
	ended := dialer.endedAddresses()
	find := func(sameService bool) []string {
		return dialer.FindOthers(maxSiblings, func(other cherrykeel.Upstream) bool {
			return other.Address != address && !ended[other.Address] && (other.Service == upstream.Service) == sameService
		})
	}
	siblings, others := find(true), find(false)
	tried := siblings
	if len(siblings) == 0 {
		tried = others
	}
	accepted, failed := dialer.tryEach(tried)
	switch {
	case accepted == 0 && failed > 0:
		dialer.recordLinksLost(upstream.Service)
		return reach.LinksLost
	case failed > 0 || dialer.hasLostLink(upstream.Service):
		return reach.LinksPartial
	case len(siblings) > 0:
		return reach.LinksWork
	default:
		return reach.LinksUnknown
	}
}

// tryEach tries to connect to addresses until enough have accepted, and returns how many have and how many have not.
func (dialer *Dialer) tryEach(addresses []string) (accepted, failed int) {
	for _, address := range addresses {
		if dialer.tryDirect(address, siblingTimeout) {
			accepted++
		} else {
			failed++
		}
		if accepted == enoughSiblings {
			break
		}
	}
	return accepted, failed
}

func (dialer *Dialer) recordLinksLost(service string) {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.linksLostAt[service] = dialer.clock.Now()
}

// hasLostLink reports whether this host does not reach some upstream of a service itself.
func (dialer *Dialer) hasLostLink(service string) bool {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	return slices.ContainsFunc(dialer.table.Lost(), func(address string) bool {
		upstream, _ := dialer.FindUpstream(address)
		return upstream.Service == service
	})
}

// checkOwnLinks is checkLinks for a connection of this host's own. Links that were lost a moment ago are not tried again.
func (dialer *Dialer) checkOwnLinks(address string) reach.Links {
	if dialer.wasClosed(address) {
		return reach.LinksProven
	}
	if dialer.knowsLinksLost(address) {
		return reach.LinksLost
	}
	return dialer.checkLinks(address)
}

// endedAddresses returns the addresses whose process is known to have ended.
func (dialer *Dialer) endedAddresses() map[string]bool {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	return dialer.table.Ended(dialer.clock.Now())
}

func (dialer *Dialer) wasClosed(address string) bool {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	return dialer.table.WasClosed(address, dialer.clock.Now())
}

// RecordClosed records that the process at an address has closed a direct connection under a request.
func (dialer *Dialer) RecordClosed(address string) {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.table.RecordClosed(address, dialer.clock.Now())
}

// knowsLinksLost reports whether this host's links to the service of an address were found not to work a moment ago, or
// its link to the address itself is lost.
func (dialer *Dialer) knowsLinksLost(address string) bool {
	upstream, _ := dialer.FindUpstream(address)
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	if dialer.table.IsLost(address) {
		return true
	}
	lostAt, known := dialer.linksLostAt[upstream.Service]
	return known && dialer.clock.Now().Sub(lostAt) < lostLinksTime
}

// tryDirect tries to connect directly, and reports whether that succeeded.
func (dialer *Dialer) tryDirect(address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	opened, err := dialer.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = opened.Close()
	dialer.recordConnected(address)
	return true
}

// forgetLinks forgets the links to services that were found not to work long ago; Dialer.mutex is held.
func (dialer *Dialer) forgetLinks(now cherrykeel.Instant) {
	for service, lostAt := range dialer.linksLostAt {
		if now.Sub(lostAt) > lostLinksTime {
			delete(dialer.linksLostAt, service)
		}
	}
}
