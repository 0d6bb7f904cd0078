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

// auditLength bounds the audit trail in the state; docs/CAPACITY.md gives its cost.
const auditLength = 500

// AuditEntry is one line of the audit trail.
type AuditEntry struct {
	// ID is the record's.
	ID string
	// Version is that of the change.
	Version int64
	Author  string
	Time    time.Time
	Reason  string
	Path    string
	Before  map[string]any `json:",omitempty"`
	After   map[string]any `json:",omitempty"`
}

// ServiceOwnership is what the log says of the ownership of one service's keys.
type ServiceOwnership struct {
	// Term is the version of the keeper's claim; 0 while nobody has claimed.
	Term   int64
	Keeper string
	// ClaimID is the id of the keeper's claim, by which its process knows its own.
	ClaimID     string
	LeaseLength time.Duration
	// Timeout is the claim's.
	Timeout   time.Duration `json:",omitempty"`
	Witnesses []string
	// Earlier lists the terms whose leases may still run; a keeper empties it when they have ended.
	Earlier []EarlierTerm `json:",omitempty"`
	// Sequence is the version of the last accepted assignment.
	Sequence  int64
	Placement cherrykeel.Placement
}

// EarlierTerm is a term that has been replaced.
type EarlierTerm struct {
	Term        int64
	LeaseLength time.Duration
	Timeout     time.Duration `json:",omitempty"`
	Witnesses   []string
}

// State is the fold of all records below Next.
type State struct {
	// Next is the offset of the first record that is not folded yet.
	Next int64
	// Version is that of the last accepted change of settings.
	Version   int64
	Nodes     tree.Nodes
	Ownership map[string]ServiceOwnership
	Audit     []AuditEntry
	// CheckpointAt is the offset of the last checkpoint.
	CheckpointAt int64
	// Chain is a hash over all records and verdicts; hosts that judged a record differently differ from there on.
	Chain uint64
	// SuspectedRequests are the requests that were at work when upstreams ended, by identity, and DeniedAt is the version of the
	// last record that told of one.
	SuspectedRequests map[string]poison.Record `json:",omitempty"`
	SuspectedVersion  int64                    `json:",omitempty"`
}

// Verdict says what the fold made of a record.
type Verdict struct {
	ID string
	// Version is the record's offset plus one, so that 0 can mean "none".
	Version  int64
	Accepted bool
	Reason   string
	// ConflictVersion is the version that was in force instead, for a change that lost.
	ConflictVersion int64
}

// NewState returns the state of an empty log.
func NewState() *State {
	return &State{Nodes: tree.Nodes{}, Ownership: map[string]ServiceOwnership{}}
}

// Clone returns a copy whose maps may be changed; the values in them are replaced, never changed.
func (state *State) Clone() *State {
	clone := *state
	clone.Nodes = make(tree.Nodes, len(state.Nodes))
	for path, node := range state.Nodes {
		clone.Nodes[path] = node
	}
	clone.Ownership = make(map[string]ServiceOwnership, len(state.Ownership))
	for service, block := range state.Ownership {
		clone.Ownership[service] = block
	}
	clone.Audit = append([]AuditEntry(nil), state.Audit...)
	return &clone
}

// Digest is equal on hosts that folded the same state; CheckpointAt is left out, since hosts that start late lack it.
func (state *State) Digest() string {
	compared := *state
	compared.CheckpointAt = 0
	data, err := json.Marshal(&compared)
	if err != nil {
		// Every value in the state came from JSON or can be written as JSON.
		panic(err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}

// Restore reads the state that a checkpoint or a peer gives and checks its digest.
func Restore(checkpoint Checkpoint) (*State, error) {
	state := NewState()
	err := json.Unmarshal(checkpoint.State, state)
	if err != nil {
		return nil, errors.Wrap(err, "checkpoint")
	}
	if digest := state.Digest(); digest != checkpoint.Digest {
		return nil, errors.Errorf("checkpoint has digest %s, its state %s", checkpoint.Digest, digest)
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
