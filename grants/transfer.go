package grants

import (
	"slices"

	"cherrykeel"
	"cherrykeel/spans"
)

// A table that was written and whose outcome is not known may be carried out seconds later. What it gives on is then
// granted to the next owner by whoever reads it, at once: the table names no owner that came before. So an owner that
// is to lose a span is granted it no more, though the table that is known still names it: one that was lost and answers
// again would hold its span beside the owner that a successor grants it.

// unconfirmedTransfer is a span that an open write gives on.
type unconfirmedTransfer struct {
	service string
	owner   string
	span    cherrykeel.KeySpan
	// offset is the offset for which the table was written.
	offset int64
}

// recordTransfers notes what a proposed table gives on, once for each offset.
func (keeper *Keeper) recordTransfers(table, proposal spans.Table, at int64, now cherrykeel.Instant) {
	for service, list := range table.Services {
		for _, before := range list {
			transfer := unconfirmedTransfer{service: service, owner: before.Owner, span: before.Span(), offset: at}
			if before.Owner == "" || proposal.HasSameOwner(service, before) || slices.Contains(keeper.transfers, transfer) {
				continue
			}
			keeper.transfers = append(keeper.transfers, transfer)
			keeper.logTransfer(service, before, proposal, at, now)
		}
	}
}

// removeSettledTransfers forgets the writes whose offset is taken: their outcome is in the table that is known, unless another
// writer's record stands in its place.
func (keeper *Keeper) removeSettledTransfers(next int64) {
	if keeper.table.IsCorrupt() {
		return
	}
	kept := keeper.transfers[:0]
	for _, transfer := range keeper.transfers {
		if transfer.offset >= next {
			kept = append(kept, transfer)
		}
	}
	keeper.transfers = kept
}

// isTransferPending reports whether an open write gives a key of the span from its owner to another.
func (keeper *Keeper) isTransferPending(key spans.GrantedSpan) bool {
	for _, transfer := range keeper.transfers {
		same := transfer.service == key.Service && transfer.owner == key.Owner
		if same && transfer.span.Overlaps(key.Span) {
			return true
		}
	}
	return false
}
