package grants

import (
	"context"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/spans"
)

// identifyInterval is how often the process at the address of a silent owner is asked who it is.
const identifyInterval = retryInterval

// identifySilentOwners asks who answers at the address of each owner that doesn't answer its grants, if another upstream is
// listed with that address. Without it the keys of an owner that crashed and whose address has another upstream would wait
// for the end of its lease, though an entry alone doesn't show that it has ended.
func (keeper *Keeper) identifySilentOwners(ctx context.Context, table spans.Table, now cherrykeel.Instant) {
	for _, service := range keeper.environment.KeyedServices() {
		if service.HealthPath == "" {
			continue
		}
		for _, owned := range table.Services[service.Name] {
			if keeper.mustIdentify(owned, now) {
				keeper.identify(ctx, owned, service.HealthPath, now)
			}
		}
	}
}

// mustIdentify reports whether the process at an owner's address is to be asked who it is now.
func (keeper *Keeper) mustIdentify(owned spans.Owned, now cherrykeel.Instant) bool {
	contact := keeper.contact(owned.Owner)
	switch {
	case owned.Owner == "" || contact.misses == 0 || contact.processEnded:
		return false
	case contact.asking || contact.askedAt != 0 && now.Sub(contact.askedAt) < identifyInterval:
		return false
	case keeper.environment.IsResting(owned.Owner):
		return false
	default:
		return keeper.environment.HasOther(owned.Owner, owned.Address)
	}
}

// identify asks the process at an owner's address whether it is the owner.
func (keeper *Keeper) identify(ctx context.Context, owned spans.Owned, healthPath string, now cherrykeel.Instant) {
	contact := keeper.contact(owned.Owner)
	contact.asking = true
	contact.askedAt = now
	term := keeper.term
	upstream := cherrykeel.Upstream{ID: owned.Owner, Address: owned.Address, StartedAt: owned.StartedAt}
	keeper.workers.probes.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := keeper.granter.Identify(ctx, upstream, healthPath)
		keeper.results <- func(now cherrykeel.Instant) {
			contact.asking = false
			if keeper.term == term && errors.Is(err, cherrykeel.ErrUpstreamReplaced) {
				keeper.needsTick = true
				keeper.recordReplaced(upstream, now)
			}
		}
	})
}
