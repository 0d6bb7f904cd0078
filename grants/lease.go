package grants

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// takeoverBarredAfter is how long the store must be unavailable before leases become long. A shorter outage prevents
	// no takeover that could have come before short leases expire: a keeper that sends no reports is detected after 0.9 s.
	takeoverBarredAfter = time.Second
	// tailFactor is the ratio of an owner's shortest lease to its mean processing time. Processing times of slow
	// requests reach 8 times their mean; 1 to 2 requests in 100 take over 4 times the mean, and the last renewal is up
	// to 0.6 s old.
	tailFactor = 5
	// releaseMargin is how much longer than the lease the keeper waits for the answer to a release. The keys are free
	// by then anyway.
	releaseMargin = 100 * time.Millisecond
	// maxMeanAge is how long a service's mean processing time is cached; it changes slowly.
	maxMeanAge = 500 * time.Millisecond
)

// recordStoreState records since when the store has been unavailable to this host, and logs when leases become long or
// short.
func (keeper *Keeper) recordStoreState(now cherrykeel.Instant) {
	if keeper.environment.StoreAvailableFor() > 0 {
		keeper.storeUnavailable = false
	} else if !keeper.storeUnavailable {
		keeper.storeUnavailable = true
		keeper.storeUnavailableSince = now
	}
	barred := keeper.isTakeoverBarred(now)
	if barred == keeper.longLeases {
		return
	}
	keeper.longLeases = barred
	events.Log(keeper.logger, events.LeaseDurationChanged, zap.Bool("Long", barred), zap.Duration("Least", keeper.usualLease()), zap.Int64("Term", keeper.term))
}

// isTakeoverBarred reports whether no other host could replace this keeper if it crashed now: the store has been
// unavailable to it for a while, and so it is to all hosts from which it receives reports.
func (keeper *Keeper) isTakeoverBarred(now cherrykeel.Instant) bool {
	if !keeper.storeUnavailable || now.Sub(keeper.storeUnavailableSince) < takeoverBarredAfter {
		return false
	}
	for _, received := range keeper.mesh.Reports(maxEvidenceAge) {
		if received.Report.StoreAvailable {
			return false
		}
	}
	return true
}

// usualLease is long only while a takeover is barred: if this keeper crashes then, the owners continue until the store
// is available again. A shorter grant cannot shorten a long lease, so a long lease leaves the keys of an owner that
// crashes without an owner for up to 10 s instead of 2.5 s.
func (keeper *Keeper) usualLease() time.Duration {
	if keeper.longLeases {
		return keeper.bounds().MaxLeaseDuration
	}
	return keeper.shortLease()
}

func (keeper *Keeper) shortLease() time.Duration {
	return min(minLease, keeper.bounds().MaxLeaseDuration)
}

// leaseFor returns the lease duration for an owner's next grant. It is short for an owner that leaves, which will soon
// be gone whichever host is the keeper, and for one that does not answer and may be gone: a longer lease would only
// keep its keys from other upstreams.
func (keeper *Keeper) leaseFor(service, owner string, now cherrykeel.Instant) time.Duration {
	contact := keeper.contact(owner)
	if !contact.answering {
		return keeper.shortLease()
	}
	if contact.leaving {
		return keeper.processingLease(service, owner, now)
	}
	return max(keeper.usualLease(), keeper.processingLease(service, owner, now))
}

// processingLease is the shortest lease that is long enough for an owner's requests. An upstream fails a request that
// runs longer than the lease that was in force at its start, though the lease was renewed in the meantime: with leases
// of 2.5 s and requests of 1.3 s in the mean, 220 of 1,635 failed, all after 1.9 s to 2.8 s, those of one owner at the
// same time. An owner that becomes unavailable keeps its keys for that long, so the lease is no longer than necessary.
func (keeper *Keeper) processingLease(service, owner string, now cherrykeel.Instant) time.Duration {
	processingTime := keeper.processingTime(owner, now)
	if processingTime == 0 {
		processingTime = keeper.meanProcessingTime(service, now)
	}
	return min(max(tailFactor*processingTime, minLease), keeper.bounds().MaxLeaseDuration)
}

// meanProcessingTime is the mean of the recently reported processing times of a service's upstreams, or 0 if there are
// none.
func (keeper *Keeper) meanProcessingTime(service string, now cherrykeel.Instant) time.Duration {
	if means := keeper.meanTimes[service]; now.Sub(means.computedAt) < maxMeanAge {
		return means.processingTime
	}
	total, count := time.Duration(0), 0
	for _, upstream := range keeper.environment.Upstreams() {
		if upstream.Service != service {
			continue
		}
		processingTime := keeper.processingTime(upstream.ID, now)
		if processingTime > 0 {
			total += processingTime
			count++
		}
	}
	mean := cachedMean{computedAt: now}
	if count > 0 {
		mean.processingTime = total / time.Duration(count)
	}
	keeper.meanTimes[service] = mean
	return mean.processingTime
}

// cachedMean is the mean processing time of a service and when it was computed.
type cachedMean struct {
	processingTime time.Duration
	computedAt     cherrykeel.Instant
}
