package grants

import (
	"slices"

	"cherrykeel"
	"cherrykeel/spans"
)

// A table whose write has an unknown outcome may still be written seconds later. Any keeper that reads it then grants
// the transferred spans to the next owner at once, because the table does not name the previous one. So an owner that
// is about to lose a span gets no more grants of it, though the last known table still names it as the owner. Otherwise
// an owner that was unavailable and answers again would hold its span at the same time as the owner to which a
// successor grants it.

// unconfirmedTransfer is a span that a table transfers whose write is unconfirmed.
type unconfirmedTransfer struct {
	service string
	owner   string
	span    cherrykeel.KeySpan
	// offset is the offset for which the table was written.
	offset int64
}

// recordTransfers records and logs the transfers of a proposed table, once for each offset.
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

// removeSettledTransfers removes the transfers of writes whose offset is taken by now: the known table shows their
// outcome, unless the newest record of the table cannot be decoded. In a new era the outcome is unknown until the next
// claim: another host may have read the written table before it was lost, and claim with it.
func (keeper *Keeper) removeSettledTransfers(table spans.Table, next int64) {
	if keeper.table.IsCorrupt() || isEraUnclaimed(table, next) {
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

// isTransferPending reports whether an unconfirmed write transfers a key of the span away from its owner.
func (keeper *Keeper) isTransferPending(key spans.GrantedSpan) bool {
	for _, transfer := range keeper.transfers {
		same := transfer.service == key.Service && transfer.owner == key.Owner
		if same && transfer.span.Overlaps(key.Span) {
			return true
		}
	}
	return false
}
