package grants

import (
	"cherrykeel"
	"cherrykeel/spans"
)

// A table that was written and whose outcome is not known may be carried out seconds later. What it gives on is then
// granted to the next owner by whoever reads it, at once: the table names no owner that came before. So an owner that
// is to lose a span is granted it no more, though the table that is known still names it. An owner that had been lost
// and answered again was granted its span beside such a write, and the keeper's successor granted it to another.

// openGift is a span that an open write gives on.
type openGift struct {
	service string
	owner   string
	span    cherrykeel.KeySpan
	// at is the offset for which the table was written.
	at int64
}

// noteGifts notes what a proposed table gives on.
func (keeper *Keeper) noteGifts(table, proposal spans.Table, at int64) {
	for service, list := range table.Services {
		for _, before := range list {
			if before.Owner != "" && !proposal.Keeps(service, before) {
				keeper.gifts = append(keeper.gifts, openGift{service: service, owner: before.Owner, span: before.Span(), at: at})
			}
		}
	}
}

// settleGifts forgets the writes whose offset is taken: their outcome is in the table that is known.
func (keeper *Keeper) settleGifts(next int64) {
	kept := keeper.gifts[:0]
	for _, gift := range keeper.gifts {
		if gift.at >= next {
			kept = append(kept, gift)
		}
	}
	keeper.gifts = kept
}

// givenOn reports whether an open write gives a key of the span from its owner to another.
func (keeper *Keeper) givenOn(key grantKey) bool {
	for _, gift := range keeper.gifts {
		same := gift.service == key.service && gift.owner == key.owner
		if same && gift.span.First <= key.span.Last && gift.span.Last >= key.span.First {
			return true
		}
	}
	return false
}
