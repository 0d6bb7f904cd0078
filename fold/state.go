package fold

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/poison"
	"cherrykeel/tree"
)

// auditLength bounds the number of entries in the audit trail; docs/CAPACITY.md gives its cost.
const auditLength = 500

// AuditEntry is one entry of the audit trail: the change of one node of the settings tree.
type AuditEntry struct {
	// ID is the id of the record that made the change.
	ID string
	// Version is the version of the change.
	Version int64
	Author  string
	Time    time.Time
	Reason  string
	Path    string
	// Before and After are the node's own fields before and after the change.
	Before map[string]any `json:",omitempty"`
	After  map[string]any `json:",omitempty"`
}

// ServiceOwnership is the state of the ownership of one service's keys.
type ServiceOwnership struct {
	// Term is the version of the keeper's claim, or 0 before the first claim.
	Term   int64
	Keeper string
	// ClaimID is the id of the keeper's claim. The process that wrote the claim recognizes its own term by it.
	ClaimID     string
	LeaseLength time.Duration
	// Timeout is the Timeout of the claim.
	Timeout   time.Duration `json:",omitempty"`
	Witnesses []string
	// Earlier lists the replaced terms whose leases may still be valid; the keeper clears it when they have ended.
	Earlier []EarlierTerm `json:",omitempty"`
	// Sequence is the version of the last accepted assignment.
	Sequence  int64
	Placement cherrykeel.Placement
}

// EarlierTerm is a term that a later claim has replaced.
type EarlierTerm struct {
	Term        int64
	LeaseLength time.Duration
	Timeout     time.Duration `json:",omitempty"`
	Witnesses   []string
}

// State is the result of folding all records below Next.
type State struct {
	// Next is the offset of the first record that has not been folded.
	Next int64
	// Version is the version of the last accepted change of settings.
	Version int64
	// Nodes is the settings tree.
	Nodes tree.Nodes
	// Ownership is the ownership of keys, by the path of the service.
	Ownership map[string]ServiceOwnership `json:"Blocks"`
	// Audit is the audit trail, from the oldest entry to the newest.
	Audit []AuditEntry
	// CheckpointAt is the offset of the last checkpoint.
	CheckpointAt int64
	// Chain is a hash over all records and verdicts. If two hosts reach different verdicts on a record, their chains
	// differ from that record on.
	Chain uint64
	// SuspectedRequests are the requests that were running when upstreams crashed, by fingerprint. SuspectedVersion is the
	// version of the last record that reported any.
	SuspectedRequests map[string]poison.Record `json:"Denied,omitempty"`
	SuspectedVersion  int64                    `json:"DeniedAt,omitempty"`
}

// Verdict is the result of folding one record.
type Verdict struct {
	ID string
	// Version is the record's offset plus one, so that 0 can mean "none".
	Version  int64
	Accepted bool
	// Reason is why the record was rejected.
	Reason string
	// ConflictVersion is the version or term in force, for a record that was rejected because it replaces another one.
	ConflictVersion int64 `json:"LostTo"`
}

// NewState returns the state of an empty log.
func NewState() *State {
	return &State{Nodes: tree.Nodes{}, Ownership: map[string]ServiceOwnership{}}
}

// Clone returns a copy for Apply to change. The values in its maps, and SuspectedRequests as a whole, are shared with
// the original: Apply replaces them and never changes them in place.
func (state *State) Clone() *State {
	clone := *state
	clone.Nodes = make(tree.Nodes, len(state.Nodes))
	for path, node := range state.Nodes {
		clone.Nodes[path] = node
	}
	clone.Ownership = make(map[string]ServiceOwnership, len(state.Ownership))
	for service, ownership := range state.Ownership {
		clone.Ownership[service] = ownership
	}
	clone.Audit = append([]AuditEntry(nil), state.Audit...)
	return &clone
}

// Digest returns a hash of the state without CheckpointAt, equal on hosts that have folded the same records: a host
// that started late may not have the offset of the last checkpoint.
func (state *State) Digest() string {
	compared := *state
	compared.CheckpointAt = 0
	data, err := json.Marshal(&compared)
	if err != nil {
		// Cannot happen: every value in the state came from JSON or can be encoded as JSON.
		panic(err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}

// Restore decodes the state in a checkpoint, from the log or from a peer, and checks its digest.
func Restore(checkpoint Checkpoint) (*State, error) {
	state := NewState()
	err := json.Unmarshal(checkpoint.State, state)
	if err != nil {
		return nil, errors.Wrap(err, "malformed checkpoint")
	}
	if digest := state.Digest(); digest != checkpoint.Digest {
		return nil, errors.Errorf("the checkpoint gives digest %s, but its state has %s", checkpoint.Digest, digest)
	}
	return state, nil
}

// Snapshot returns the state as a checkpoint.
func (state *State) Snapshot() (Checkpoint, error) {
	data, err := json.Marshal(state)
	if err != nil {
		return Checkpoint{}, errors.WithStack(err)
	}
	return Checkpoint{Digest: state.Digest(), State: data}, nil
}
