package grants

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// barredAfter is how long the store has to be away for holds to be long. An outage that ends sooner bars no
	// takeover that would have come before the short holds end: a silent keeper is missed after 0.9 s.
	barredAfter = time.Second
	// workTail is how many times an owner's mean work time its hold is at least. Work of a long kind varies up to 8
	// times its mean; 1 to 2 requests in 100 take over 4 times, and the last renewal is up to 0.6 s old.
	workTail = 5
	// releaseMargin is how much longer than the hold a release is waited for: waiting on gains nothing.
	releaseMargin = 100 * time.Millisecond
	// meanWorkAge is how long a service's mean work time is used before it is worked out anew; it changes slowly.
	meanWorkAge = 500 * time.Millisecond
)

// noteStore follows for how long the store has not served this host.
func (keeper *Keeper) noteStore(now cherrykeel.Instant) {
	if keeper.world.StoreAvailableFor() > 0 {
		keeper.away = false
	} else if !keeper.away {
		keeper.away = true
		keeper.awaySince = now
	}
	barred := keeper.takeoverBarred(now)
	if barred == keeper.barred {
		return
	}
	keeper.barred = barred
	events.Log(keeper.logger, events.LeaseDurationChanged, zap.Bool("Long", barred), zap.Duration("Least", keeper.usualHold()), zap.Int64("Term", keeper.term))
}

// takeoverBarred reports whether no other host could take this keeper's place if it died now: the store has been
// away from it for a while, and no host that it hears has the store.
func (keeper *Keeper) takeoverBarred(now cherrykeel.Instant) bool {
	if !keeper.away || now.Sub(keeper.awaySince) < barredAfter {
		return false
	}
	for _, heard := range keeper.mesh.Reports(evidenceAge) {
		if heard.Report.StoreAvailable {
			return false
		}
	}
	return true
}

// usualHold is long only while a takeover is barred: should this keeper die then, the owners go on until the
// store is back. A long hold cannot be taken back by a shorter one, so each costs the callers of an owner that is
// lost up to 10 s without an owner in place of 2.5 s.
func (keeper *Keeper) usualHold() time.Duration {
	if keeper.barred {
		return keeper.bounds().MaxLeaseDuration
	}
	return keeper.shortHold()
}

func (keeper *Keeper) shortHold() time.Duration {
	return min(calmHold, keeper.bounds().MaxLeaseDuration)
}

// hold is short for an owner that leaves, which is soon gone whoever keeps, and for one that does not answer and
// may be gone: a longer one would only keep its keys from others.
func (keeper *Keeper) hold(service, owner string, now cherrykeel.Instant) time.Duration {
	contact := keeper.contact(owner)
	if !contact.answers {
		return keeper.shortHold()
	}
	if contact.leaving {
		return keeper.workHold(service, owner, now)
	}
	return max(keeper.usualHold(), keeper.workHold(service, owner, now))
}

// workHold is the shortest hold that is long enough for an owner's work. Work that outlasts the hold which was in
// force at its start is ended by the upstream with a failure, though the hold was renewed meanwhile: of 1,635
// requests of 1.3 s in the mean 220 failed under holds of 2.5 s, all after 1.9 s to 2.8 s of work, those of one owner
// at one moment. An owner that is lost keeps its keys for as long, so a hold is no longer than that.
func (keeper *Keeper) workHold(service, owner string, now cherrykeel.Instant) time.Duration {
	work := keeper.workTime(owner, now)
	if work == 0 {
		work = keeper.meanWork(service, now)
	}
	return min(max(workTail*work, calmHold), keeper.bounds().MaxLeaseDuration)
}

// meanWork is the mean work time over the upstreams of a service that hosts have told of lately, or 0.
func (keeper *Keeper) meanWork(service string, now cherrykeel.Instant) time.Duration {
	if means := keeper.meanWorks[service]; now.Sub(means.at) < meanWorkAge {
		return means.work
	}
	total, count := time.Duration(0), 0
	for _, upstream := range keeper.world.Upstreams() {
		if upstream.Service != service {
			continue
		}
		work := keeper.workTime(upstream.ID, now)
		if work > 0 {
			total += work
			count++
		}
	}
	mean := meanWork{at: now}
	if count > 0 {
		mean.work = total / time.Duration(count)
	}
	keeper.meanWorks[service] = mean
	return mean.work
}

// meanWork is the mean work time of a service as of a time.
type meanWork struct {
	work time.Duration
	at   cherrykeel.Instant
}
