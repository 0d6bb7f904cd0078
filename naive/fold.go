package naive

import (
	"cherrykeel/fold"
	"cherrykeel/tree"
)

// Fold folds a complete list of records at once, in the simplest way, for comparison with fold.State. It returns the
// settings nodes and, by service, the term, the keeper and the sequence.
func Fold(records []fold.Record) (tree.Nodes, map[string]fold.ServiceOwnership) {
	nodes := tree.Nodes{}
	ownerships := map[string]fold.ServiceOwnership{}
	for i, record := range records {
		version := int64(i + 1)
		if record.Change != nil && hasCurrentBases(nodes, *record.Change) {
			for _, edit := range record.Change.Edits {
				if edit.Removed {
					delete(nodes, edit.Path)
				} else {
					nodes[edit.Path] = tree.Node{Path: edit.Path, Version: version, Fields: edit.Fields}
				}
			}
		}
		if record.Claim != nil && ownerships[record.Claim.Service].Term == record.Claim.Term {
			ownership := ownerships[record.Claim.Service]
			ownership.Term = version
			ownership.Keeper = record.Author
			ownerships[record.Claim.Service] = ownership
		}
		if record.Assign != nil {
			ownership := ownerships[record.Assign.Service]
			if ownership.Term == record.Assign.Term && ownership.Sequence == record.Assign.Base {
				ownership.Sequence = version
				ownerships[record.Assign.Service] = ownership
			}
		}
	}
	return nodes, ownerships
}

// hasCurrentBases reports whether each edit is based on the version in force of its node.
func hasCurrentBases(nodes tree.Nodes, change fold.Change) bool {
	for _, edit := range change.Edits {
		if nodes[edit.Path].Version != edit.Base {
			return false
		}
	}
	return true
}
