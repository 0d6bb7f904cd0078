package fold

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cherrykeel/poison"
	"cherrykeel/tree"
)

// Format is the newest record format that this program understands.
const Format = 1

// ErrFormat means that a record was written in a format that this program does not know.
var ErrFormat = errors.New("the log holds a record in a newer format; this program must be replaced")

// Record is one proposal in the log; exactly one of its parts is set.
type Record struct {
	Format int
	// ID is unique, so that a writer that lost a reply finds its own record again.
	ID string
	// Author is the operator or the host that wrote the record.
	Author string
	Time   time.Time

	Change            *Change            `json:",omitempty"`
	Claim             *Claim             `json:",omitempty"`
	Assign            *Assign            `json:",omitempty"`
	Checkpoint        *Checkpoint        `json:",omitempty"`
	SuspectedRequests []SuspectedRequest `json:",omitempty"`
}

// SuspectedRequest tells what its author knows of a request that was at work when upstreams ended.
type SuspectedRequest struct {
	// Fingerprint is the request's, as poison.Identity writes it.
	Fingerprint string
	Request     poison.Record
}

// Change proposes edits to the settings tree; all are accepted or none.
type Change struct {
	Reason string
	// Base is the version of the whole tree that the author saw; edits carry the versions that decide.
	Base  int64
	Edits []tree.Edit
}

// Claim proposes its author as the keeper of a service.
type Claim struct {
	Service string
	// Term is the term that the claim ends; it is refused if another has ended it before.
	Term int64
	// LeaseLength bounds the leases that the keeper will give in its term.
	LeaseLength time.Duration
	// Timeout bounds the requests that hosts send under the term's leases, which may outlast these where
	// upstreams check no fences; 0 where they do.
	Timeout time.Duration `json:",omitempty"`
	// Witnesses are the hosts that confirm the keeper's term when the log is out.
	Witnesses []string
}

// Assign changes the placement of a service in its keeper's term.
type Assign struct {
	Service string
	Term    int64
	// Base is the block's Sequence that the record replaces.
	Base       int64
	Partitions int
	// Owners and Successors map upstream names to the partitions that they get.
	// Settled says that all leases of earlier terms have ended or are the keeper's own now.
	Settled    bool              `json:",omitempty"`
	Owners     map[string][]int  `json:",omitempty"`
	Successors map[string][]int  `json:",omitempty"`
	HotKeys    map[string]string `json:",omitempty"`
}

// Checkpoint repeats the whole state, so that older records may be dropped.
type Checkpoint struct {
	// Digest is of State as its writer folded it.
	Digest string
	State  json.RawMessage
}

// Encode returns the record as the log keeps it.
func Encode(record Record) ([]byte, error) {
	data, err := json.Marshal(record)
	return data, errors.WithStack(err)
}

// Decode reads a record; ErrFormat is returned for formats of the future.
func Decode(data []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(data, &record)
	if err != nil {
		return record, errors.Wrap(err, "not a record")
	}
	if record.Format > Format {
		return record, errors.Wrapf(ErrFormat, "format %d", record.Format)
	}
	return record, nil
}
