package fold

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cherrykeel/poison"
	"cherrykeel/tree"
)

// Format is the newest record format that this program can read.
const Format = 1

// ErrFormat means that a record is in a newer format than this program can read.
var ErrFormat = errors.New("the log holds a record in a newer format; upgrade this program")

// Record is one proposal in the log. Exactly one of Change, Claim, Assign, Checkpoint and SuspectedRequests is set.
type Record struct {
	Format int
	// ID is unique: a writer that got no reply to its append recognizes its record by it.
	ID string
	// Author is the operator or the host that wrote the record.
	Author string
	// Time is the author's wall clock.
	Time time.Time

	Change            *Change            `json:",omitempty"`
	Claim             *Claim             `json:",omitempty"`
	Assign            *Assign            `json:",omitempty"`
	Checkpoint        *Checkpoint        `json:",omitempty"`
	SuspectedRequests []SuspectedRequest `json:"Denials,omitempty"`
}

// SuspectedRequest reports a request that was running when upstreams crashed, as its author recorded it.
type SuspectedRequest struct {
	// Fingerprint is the text form of the request's poison.Fingerprint.
	Fingerprint string `json:"Identity"`
	// Request holds the crashes that the author has recorded for the request.
	Request poison.Record
}

// Change proposes edits to the settings tree; either all are accepted or none.
type Change struct {
	Reason string
	// Base is the version of the whole tree that the author saw. Whether the change is accepted depends only on the
	// versions in the edits.
	Base  int64
	Edits []tree.Edit
}

// Claim proposes its author as the keeper of a service.
type Claim struct {
	Service string
	// Term is the term that the claim replaces; the claim is rejected if that is not the current term.
	Term int64
	// LeaseLength is the longest lease that the keeper grants in its term.
	LeaseLength time.Duration
	// Timeout bounds the requests that hosts send under the term's leases. Where upstreams check no fences, such a request
	// may run on after its lease has ended; where they check fences, Timeout is 0.
	Timeout time.Duration `json:",omitempty"`
	// Witnesses are the hosts that confirm the keeper's term while the log is unavailable.
	Witnesses []string
}

// Assign changes the placement of a service within its keeper's term.
type Assign struct {
	Service string
	Term    int64
	// Base is the Sequence of the assignment that the record replaces.
	Base int64
	// Partitions is the number of the service's partitions after the assignment.
	Partitions int
	// Settled is true if all leases of earlier terms have ended or have become the keeper's own.
	Settled bool `json:",omitempty"`
	// Owners and Successors map upstream names to the partitions that the upstreams get.
	Owners     map[string][]int `json:",omitempty"`
	Successors map[string][]int `json:",omitempty"`
	// HotKeys maps keys to their new owners; an empty owner removes the key's own entry.
	HotKeys map[string]string `json:",omitempty"`
}

// Checkpoint holds the whole state, so that the log can drop older records.
type Checkpoint struct {
	// Digest is the digest of State as its writer computed it.
	Digest string
	State  json.RawMessage
}

// Encode returns the record as it is stored in the log.
func Encode(record Record) ([]byte, error) {
	data, err := json.Marshal(record)
	return data, errors.WithStack(err)
}

// Decode parses a record; the error is ErrFormat for a record in a newer format.
func Decode(data []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(data, &record)
	if err != nil {
		return record, errors.Wrap(err, "malformed record")
	}
	if record.Format > Format {
		return record, errors.Wrapf(ErrFormat, "format %d", record.Format)
	}
	return record, nil
}
