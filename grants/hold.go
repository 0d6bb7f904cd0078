package grants

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// takeoverBarredAfter is how long the store has to be away for holds to be long. An outage that ends sooner bars no
	// takeover that would have come before the short holds end: a silent keeper is missed after 0.9 s.
	takeoverBarredAfter = time.Second
	// tailFactor is how many times an owner's mean work time its hold is at least. Work of a long kind varies up to 8
	// times its mean; 1 to 2 requests in 100 take over 4 times, and the last renewal is up to 0.6 s old.
	tailFactor = 5
	// releaseMargin is how much longer than the hold a release is waited for: waiting on gains nothing.
	releaseMargin = 100 * time.Millisecond
	// maxMeanAge is how long a service's mean work time is used before it is worked out anew; it changes slowly.
	maxMeanAge = 500 * time.Millisecond
)

// recordStoreState follows for how long the store has not served this host.
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
	events.Log(keeper.logger, events.HoldsChanged, zap.Bool("Long", barred), zap.Duration("Least", keeper.usualLease()), zap.Int64("Term", keeper.term))
}

// isTakeoverBarred reports whether no other host could take this keeper's place if it died now: the store has been
// away from it for a while, and no host that it hears has the store.
func (keeper *Keeper) isTakeoverBarred(now cherrykeel.Instant) bool {
	if !keeper.storeUnavailable || now.Sub(keeper.storeUnavailableSince) < takeoverBarredAfter {
		return false
	}
	for _, heard := range keeper.mesh.Reports(maxEvidenceAge) {
		if heard.Report.StoreAvailable {
			return false
		}
	}
	return true
}

// usualLease is long only while a takeover is barred: should this keeper die then, the owners go on until the
// store is back. A long hold cannot be taken back by a shorter one, so each costs the callers of an owner that is
// lost up to 10 s without an owner in place of 2.5 s.
func (keeper *Keeper) usualLease() time.Duration {
	if keeper.longLeases {
		return keeper.bounds().MaxLeaseDuration
	}
	return keeper.shortLease()
}

func (keeper *Keeper) shortLease() time.Duration {
	return min(minLease, keeper.bounds().MaxLeaseDuration)
}

// leaseFor is short for an owner that leaves, which is soon gone whoever keeps, and for one that does not answer and
// may be gone: a longer one would only keep its keys from others.
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

// processingLease is the shortest hold that is long enough for an owner's work. Work that outlasts the hold which was in
// force at its start is ended by the upstream with a failure, though the hold was renewed meanwhile: of 1,635
// requests of 1.3 s in the mean 220 failed under holds of 2.5 s, all after 1.9 s to 2.8 s of work, those of one owner
// at one moment. An owner that is lost keeps its keys for as long, so a hold is no longer than that.
func (keeper *Keeper) processingLease(service, owner string, now cherrykeel.Instant) time.Duration {
	work := keeper.processingTime(owner, now)
	if work == 0 {
		work = keeper.meanProcessingTime(service, now)
	}
	return min(max(tailFactor*work, minLease), keeper.bounds().MaxLeaseDuration)
}

// meanProcessingTime is the mean work time over the upstreams of a service that hosts have told of lately, or 0.
func (keeper *Keeper) meanProcessingTime(service string, now cherrykeel.Instant) time.Duration {
	if means := keeper.meanTimes[service]; now.Sub(means.computedAt) < maxMeanAge {
		return means.processingTime
	}
	total, count := time.Duration(0), 0
	for _, upstream := range keeper.environment.Upstreams() {
		if upstream.Service != service {
			continue
		}
		work := keeper.processingTime(upstream.ID, now)
		if work > 0 {
			total += work
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

// cachedMean is the mean work time of a service as of a time.
type cachedMean struct {
	processingTime time.Duration
	computedAt     cherrykeel.Instant
}
