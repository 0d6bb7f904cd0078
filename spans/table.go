package spans

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"cherrykeel"
)

// Owned is one span of a table with its owner.
type Owned struct {
	First int
	Last  int
	// Owner is an upstream's ID; it is empty only if the span was never granted.
	Owner   string
	Address string
	// StartedAt distinguishes the owner's incarnations: its process's start in Unix milliseconds on its own clock, or
	// 0 if it is not reported.
	StartedAt int64 `json:"Born,omitempty"`
	// Fence is the offset of the record that granted the span to its owner, or that raised the fence later: a
	// keeper's claim or a merge with a neighbour.
	Fence int64
	// InTransfer spans get no new requests: their owner is asked to release them.
	InTransfer bool `json:"Moving,omitempty"`
}

// Span returns the keys of the span.
func (owned Owned) Span() cherrykeel.KeySpan {
	return cherrykeel.KeySpan{First: owned.First, Last: owned.Last}
}

// Table is the stored record that names the keeper and the owner of each span. Each change replaces the whole record.
type Table struct {
	// Version is the record's own offset, in the era in which the table was written: a copy of the record that the store
	// holds in a later era is the same version.
	Version int64 `json:"-"`
	// Term is the offset of the keeper's claim.
	Term int64
	// Keeper is the keeper's host name and Incarnation identifies its process; an empty Incarnation means that the
	// keeper has resigned.
	Keeper      string
	Incarnation string `json:"Life"`
	// Uncertain means that upstreams may hold keys that the table names other owners of: the keeper claimed the role in a
	// new era of the store, and later tables of the era before may be lost.
	Uncertain bool `json:",omitempty"`
	// Services holds the spans of each keyed service in key order, without gaps.
	Services map[string][]Owned
}

// ErrMalformedTable means that a record does not hold a valid table of spans.
var ErrMalformedTable = errors.New("malformed table of spans")

// Decode parses a stored table, or a change that Diff returned, and validates it, since another program may have
// written the record. It returns an ErrMalformedTable.
func Decode(value []byte, offset int64) (Table, error) {
	table := Table{Version: offset, Term: -1}
	err := json.Unmarshal(value, &table)
	if err != nil {
		return table, errors.Wrap(ErrMalformedTable, err.Error())
	}
	if table.Term < 0 {
		return table, errors.Wrapf(ErrMalformedTable, "invalid term %d", table.Term)
	}
	// Each keeper claims the role anew in each era, so the term shows the era in which the table was written.
	table.Version = cherrykeel.Position(cherrykeel.EraOf(table.Term), cherrykeel.OffsetOf(offset))
	for service, list := range table.Services {
		next := 0
		for _, owned := range list {
			if owned.First < next || owned.Last < owned.First || owned.Last > cherrykeel.MaxKey || owned.Owner == "" {
				return table, errors.Wrapf(ErrMalformedTable, "invalid spans of service %q", service)
			}
			next = owned.Last + 1
		}
	}
	return table, nil
}

// Encode returns the record's value.
func (table Table) Encode() ([]byte, error) {
	return json.Marshal(table)
}

// Find returns the span of a service that contains the key.
func (table Table) Find(service string, key int) (Owned, bool) {
	list := table.Services[service]
	i := sort.Search(len(list), func(i int) bool { return list[i].Last >= key })
	if i == len(list) || !(cherrykeel.KeySpan{First: list[i].First, Last: list[i].Last}).Contains(key) {
		return Owned{}, false
	}
	return list[i], true
}

// SpansOfOthers returns the keys of a service that the table does not name an upstream the owner of, in key order.
func (table Table) SpansOfOthers(service, owner string) []cherrykeel.KeySpan {
	var others []cherrykeel.KeySpan
	next := 0
	for _, owned := range table.Services[service] {
		if owned.Owner != owner {
			continue
		}
		if owned.First > next {
			others = append(others, cherrykeel.KeySpan{First: next, Last: owned.First - 1})
		}
		next = owned.Last + 1
	}
	if next <= cherrykeel.MaxKey {
		others = append(others, cherrykeel.KeySpan{First: next, Last: cherrykeel.MaxKey})
	}
	return others
}

// HasSameOwner reports whether every key of another table's span has the same owner in this table.
func (table Table) HasSameOwner(service string, before Owned) bool {
	for _, owned := range table.Services[service] {
		if owned.Span().Overlaps(before.Span()) && owned.Owner != before.Owner {
			return false
		}
	}
	return true
}

// Clone returns a copy that shares no mutable data.
func (table Table) Clone() Table {
	clone := table
	clone.Services = map[string][]Owned{}
	for name, list := range table.Services {
		clone.Services[name] = append([]Owned(nil), list...)
	}
	return clone
}

// ClaimedBy returns the table that a new keeper writes at an offset to claim the role: the owners stay, and all spans
// get the new fence, so that an upstream that has received the new grant refuses grants of the earlier keeper.
func (table Table) ClaimedBy(keeper, incarnation string, offset int64) Table {
	claimed := table.Clone()
	claimed.Version = offset
	claimed.Term = offset
	claimed.Keeper = keeper
	claimed.Incarnation = incarnation
	for _, list := range claimed.Services {
		for i := range list {
			list[i].Fence = offset
			list[i].InTransfer = false
		}
	}
	return claimed
}

// Split splits the spans of a service at the ends of the given span, so that no span of the service crosses them.
func (table Table) Split(service string, span cherrykeel.KeySpan) {
	var split []Owned
	for _, owned := range table.Services[service] {
		split = append(split, owned.split(span)...)
	}
	table.Services[service] = split
}

func (owned Owned) split(span cherrykeel.KeySpan) []Owned {
	if span.Last < owned.First || span.First > owned.Last {
		return []Owned{owned}
	}
	var parts []Owned
	if span.First > owned.First {
		left := owned
		left.Last = span.First - 1
		parts = append(parts, left)
	}
	middle := owned
	middle.First = max(owned.First, span.First)
	middle.Last = min(owned.Last, span.Last)
	parts = append(parts, middle)
	if span.Last < owned.Last {
		right := owned
		right.First = span.Last + 1
		parts = append(parts, right)
	}
	return parts
}

// Merge joins adjacent spans with the same owner and fence.
func (table Table) Merge(service string) {
	var merged []Owned
	for _, owned := range table.Services[service] {
		last := len(merged) - 1
		if last >= 0 && merged[last].canMerge(owned) {
			merged[last].Last = owned.Last
			continue
		}
		merged = append(merged, owned)
	}
	table.Services[service] = merged
}

func (owned Owned) canMerge(next Owned) bool {
	return owned.Owner == next.Owner && owned.Fence == next.Fence && !owned.InTransfer && !next.InTransfer
}
