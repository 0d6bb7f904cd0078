package spans

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"cherrykeel"
)

// Owned is one span of a table.
type Owned struct {
	First int
	Last  int
	// Owner is an upstream's ID; empty means that nobody has held the span.
	Owner   string
	Address string
	// StartedAt tells the owner's life, if it says when it was born.
	StartedAt int64 `json:"Born,omitempty"`
	// Fence is the offset of the record that gave the span to its owner, or of a later claim.
	Fence int64
	// Moving spans get no new requests: their owner is asked to give them back.
	Moving bool `json:",omitempty"`
}

// Span returns the keys.
func (owned Owned) Span() cherrykeel.KeySpan {
	return cherrykeel.KeySpan{First: owned.First, Last: owned.Last}
}

// Table is the one record that says who keeps and who owns; each change replaces it whole.
type Table struct {
	// Version is the record's own offset.
	Version int64 `json:"-"`
	// Term is the offset of the keeper's claim.
	Term int64
	// Keeper is a host's name and Life its process; an empty Life means that it resigned.
	Keeper      string
	Incarnation string `json:"Life"`
	// Services has the spans of each keyed service in order of their keys, without gaps.
	Services map[string][]Owned
}

// ErrMalformedTable means that a record is no table of spans.
var ErrMalformedTable = errors.New("the record is no table of spans")

// Decode reads a record, which may be another writer's, or a change of a table.
func Decode(value []byte, offset int64) (Table, error) {
	table := Table{Version: offset, Term: -1}
	err := json.Unmarshal(value, &table)
	if err != nil {
		return table, errors.Wrap(ErrMalformedTable, err.Error())
	}
	if table.Term < 0 {
		return table, errors.Wrapf(ErrMalformedTable, "term %d", table.Term)
	}
	for service, list := range table.Services {
		next := 0
		for _, owned := range list {
			if owned.First < next || owned.Last < owned.First || owned.Last > cherrykeel.MaxKey || owned.Owner == "" {
				return table, errors.Wrapf(ErrMalformedTable, "spans of %q", service)
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

// Find returns the span of a service that has the key.
func (table Table) Find(service string, key int) (Owned, bool) {
	list := table.Services[service]
	i := sort.Search(len(list), func(i int) bool { return list[i].Last >= key })
	if i == len(list) || !(cherrykeel.KeySpan{First: list[i].First, Last: list[i].Last}).Contains(key) {
		return Owned{}, false
	}
	return list[i], true
}

// HasSameOwner reports whether all of a span that another table names has the same owner in this one.
func (table Table) HasSameOwner(service string, before Owned) bool {
	for _, owned := range table.Services[service] {
		if owned.Span().Overlaps(before.Span()) && owned.Owner != before.Owner {
			return false
		}
	}
	return true
}

// Clone returns a copy that shares nothing that changes.
func (table Table) Clone() Table {
	clone := table
	clone.Services = map[string][]Owned{}
	for name, list := range table.Services {
		clone.Services[name] = append([]Owned(nil), list...)
	}
	return clone
}

// ClaimedBy returns the table as a new keeper writes it at an offset: the same owners, all under the new
// fence, so that grants of the keeper before are refused wherever the new one has been heard.
func (table Table) ClaimedBy(keeper, incarnation string, offset int64) Table {
	claimed := table.Clone()
	claimed.Version = offset
	claimed.Term = offset
	claimed.Keeper = keeper
	claimed.Incarnation = incarnation
	for _, list := range claimed.Services {
		for i := range list {
			list[i].Fence = offset
			list[i].Moving = false
		}
	}
	return claimed
}

// Split cuts the spans of a service so that one of them is exactly the given one, if it lies within one span.
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

// Merge joins neighbours that have the same owner and fence.
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
	return owned.Owner == next.Owner && owned.Fence == next.Fence && !owned.Moving && !next.Moving
}
