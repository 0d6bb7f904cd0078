package grants

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/spans"
)

// probeInterval is how often each owner is asked whether it leaves, while the store cannot tell. A probe takes an
// upstream some 6 ms; twelve owners during an outage of 8 s get about a hundred.
const probeInterval = time.Second

// probeOwners asks the owners themselves whether they leave while the store is away, which would tell otherwise.
//
// An upstream that ends during an outage takes its keys with it until its hold has passed, and holds are long
// then. One that is known to leave gets short ones from then on. Without this a quarter of all keys had no
// owner for 9 s after the outage, and for 20 s when the hosts were restarted meanwhile.
func (keeper *Keeper) probeOwners(ctx context.Context, table spans.Table, now cherrykeel.Instant) {
	if keeper.environment.StoreAvailableFor() > 0 {
		return
	}
	for _, service := range keeper.environment.KeyedServices() {
		if service.HealthPath == "" {
			continue
		}
		for _, owned := range table.Services[service.Name] {
			keeper.probeOwner(ctx, owned, service.HealthPath, now)
		}
	}
}

func (keeper *Keeper) probeOwner(ctx context.Context, owned spans.Owned, healthPath string, now cherrykeel.Instant) {
	contact := keeper.contact(owned.Owner)
	if owned.Owner == "" || contact.probing || contact.probed && now.Sub(contact.probedAt) < probeInterval {
		return
	}
	contact.probing = true
	contact.probed = true
	contact.probedAt = now
	born := contact.startedAt
	upstream := cherrykeel.Upstream{ID: owned.Owner, Address: owned.Address}
	keeper.workers.probes.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		leaving, err := keeper.granter.IsLeaving(ctx, upstream, healthPath)
		keeper.results <- func(cherrykeel.Instant) {
			contact.probing = false
			if err != nil || contact.leaving == leaving || contact.startedAt != born {
				return
			}
			contact.leaving = leaving
			events.Log(keeper.logger, events.OwnerLeaves, zap.String("Upstream", upstream.ID), zap.Bool("Leaving", leaving))
		}
	})
}
