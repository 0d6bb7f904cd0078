package fold

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cherrykeel"
	"cherrykeel/poison"
	"cherrykeel/tree"
)

// maxPartitions bounds the memory that one record can make every host allocate.
const maxPartitions = 1 << 16

// Apply folds one record into the state and returns whether it was accepted. A malformed record is rejected, in the
// same way on every host. For a record in a newer format, it returns an error and leaves the state unchanged.
func (state *State) Apply(offset int64, data []byte) (Verdict, error) {
	record, err := Decode(data)
	if err != nil && record.Format > Format {
		return Verdict{}, err
	}
	state.Next = offset + 1
	if err != nil {
		verdict := Verdict{Version: offset + 1, Reason: err.Error()}
		state.extendChain(verdict, data)
		return verdict, nil
	}
	verdict := Verdict{ID: record.ID, Version: offset + 1}
	switch {
	case record.Change != nil:
		state.applyChange(&verdict, record)
	case record.Claim != nil:
		state.applyClaim(&verdict, record)
	case record.Assign != nil:
		state.applyAssign(&verdict, *record.Assign)
	case record.Checkpoint != nil:
		verdict.Accepted = true
		state.CheckpointAt = offset
	case len(record.SuspectedRequests) > 0:
		state.applySuspected(&verdict, record)
	default:
		verdict.Reason = "the record is empty"
	}
	state.extendChain(verdict, data)
	return verdict, nil
}

// extendChain adds a record and its verdict to the chain hash.
func (state *State) extendChain(verdict Verdict, data []byte) {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%d %d %t ", state.Chain, verdict.Version, verdict.Accepted)
	_, _ = digest.Write(data)
	state.Chain = digest.Sum64()
}

// applyChange accepts a change if every edit replaces the current version of its node, and otherwise applies no edit.
func (state *State) applyChange(verdict *Verdict, record Record) {
	for _, edit := range record.Change.Edits {
		current := state.Nodes[edit.Path].Version
		if current == edit.Base {
			continue
		}
		verdict.ConflictVersion = current
		verdict.Reason = fmt.Sprintf("%q is at version %d, the change replaces version %d", edit.Path, current, edit.Base)
		return
	}
	for _, edit := range record.Change.Edits {
		state.applyEdit(verdict.Version, record, edit)
	}
	state.Version = verdict.Version
	verdict.Accepted = true
}

// applyEdit applies one edit to the settings and adds it to the audit trail.
func (state *State) applyEdit(version int64, record Record, edit tree.Edit) {
	entry := AuditEntry{
		ID:      record.ID,
		Version: version,
		Author:  record.Author,
		Time:    record.Time,
		Reason:  record.Change.Reason,
		Path:    edit.Path,
		Before:  state.Nodes[edit.Path].Fields,
		After:   edit.Fields,
	}
	state.Audit = append(state.Audit, entry)
	if excess := len(state.Audit) - auditLength; excess > 0 {
		state.Audit = append([]AuditEntry(nil), state.Audit[excess:]...)
	}
	if edit.Removed {
		delete(state.Nodes, edit.Path)
		return
	}
	state.Nodes[edit.Path] = tree.Node{Path: edit.Path, Version: version, Fields: edit.Fields}
}

// applyClaim accepts a claim that replaces the current term. The replaced term is kept in Earlier, since its leases may
// still be valid.
func (state *State) applyClaim(verdict *Verdict, record Record) {
	claim := *record.Claim
	ownership := state.Ownership[claim.Service]
	if ownership.Term != claim.Term {
		verdict.ConflictVersion = ownership.Term
		verdict.Reason = fmt.Sprintf("the current term is %d, held by %s", ownership.Term, ownership.Keeper)
		return
	}
	if ownership.Term != 0 {
		replaced := EarlierTerm{Term: ownership.Term, LeaseLength: ownership.LeaseLength, Timeout: ownership.Timeout, Witnesses: ownership.Witnesses}
		ownership.Earlier = append(append([]EarlierTerm(nil), ownership.Earlier...), replaced)
	}
	ownership.Term = verdict.Version
	ownership.Keeper = record.Author
	ownership.ClaimID = record.ID
	ownership.LeaseLength = claim.LeaseLength
	ownership.Timeout = claim.Timeout
	ownership.Witnesses = claim.Witnesses
	state.Ownership[claim.Service] = ownership
	verdict.Accepted = true
}

// applyAssign accepts an assignment of the current term that replaces the last accepted one.
func (state *State) applyAssign(verdict *Verdict, assign Assign) {
	ownership := state.Ownership[assign.Service]
	if ownership.Term != assign.Term || ownership.Sequence != assign.Base {
		verdict.ConflictVersion = ownership.Term
		verdict.Reason = fmt.Sprintf("the service is at term %d, sequence %d", ownership.Term, ownership.Sequence)
		return
	}
	if assign.Partitions < 0 || assign.Partitions > maxPartitions {
		// Every host folds this record: a count too large to allocate would crash all of them, again at each start.
		verdict.Reason = fmt.Sprintf("%d partitions are out of range", assign.Partitions)
		return
	}
	ownership.Sequence = verdict.Version
	if assign.Settled {
		ownership.Earlier = nil
	}
	ownership.Placement = ApplyAssign(ownership.Placement, assign)
	state.Ownership[assign.Service] = ownership
	verdict.Accepted = true
}

// applySuspected merges reports of suspected requests. The age of a crash is computed from the record's own time, so
// that every host gets the same state.
func (state *State) applySuspected(verdict *Verdict, record Record) {
	for _, suspected := range record.SuspectedRequests {
		fingerprint, err := poison.ParseFingerprint(suspected.Fingerprint)
		if err != nil {
			verdict.Reason = err.Error()
			return
		}
		request := suspected.Request
		request.Fingerprint = fingerprint
		state.SuspectedRequests = poison.MergeRecord(state.SuspectedRequests, request, record.Time.UnixMilli())
	}
	state.SuspectedVersion = verdict.Version
	verdict.Accepted = true
}

// ApplyAssign returns the placement that results from applying an assignment to the previous placement.
func ApplyAssign(previous cherrykeel.Placement, assign Assign) cherrykeel.Placement {
	next := cherrykeel.Placement{
		Owners:     movePartitions(previous.Owners, assign.Partitions, assign.Owners),
		Successors: movePartitions(previous.Successors, assign.Partitions, assign.Successors),
		HotKeys:    map[string]string{},
	}
	for key, owner := range previous.HotKeys {
		next.HotKeys[key] = owner
	}
	for key, owner := range assign.HotKeys {
		next.HotKeys[key] = owner
		if owner == "" {
			delete(next.HotKeys, key)
		}
	}
	return next
}

// movePartitions returns a copy of the previous names, resized to the number of partitions, with the moves applied.
// Moves of partitions out of range are ignored.
func movePartitions(previous []string, partitions int, moves map[string][]int) []string {
	next := make([]string, partitions)
	copy(next, previous)
	for name, list := range moves {
		for _, partition := range list {
			if partition >= 0 && partition < partitions {
				next[partition] = name
			}
		}
	}
	return next
}

// DiffPlacements returns the assignment that turns one placement into another; its Term and Base are not set.
func DiffPlacements(service string, previous, next cherrykeel.Placement) Assign {
	assign := Assign{
		Service:    service,
		Partitions: len(next.Owners),
		Owners:     partitionMoves(previous.Owners, next.Owners),
		Successors: partitionMoves(previous.Successors, next.Successors),
		HotKeys:    map[string]string{},
	}
	for key, owner := range next.HotKeys {
		if previous.HotKeys[key] != owner {
			assign.HotKeys[key] = owner
		}
	}
	for key := range previous.HotKeys {
		if _, kept := next.HotKeys[key]; !kept {
			assign.HotKeys[key] = ""
		}
	}
	return assign
}

// partitionMoves returns, by name, the partitions whose name differs from the previous one.
func partitionMoves(previous, next []string) map[string][]int {
	moves := map[string][]int{}
	for partition, name := range next {
		if partition < len(previous) && previous[partition] == name {
			continue
		}
		moves[name] = append(moves[name], partition)
	}
	return moves
}
