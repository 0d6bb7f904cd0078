package naive

import (
	"cherrykeel/fold"
	"cherrykeel/tree"
)

// Fold folds a whole list of records at once, in the plainest way, for comparison with fold.State.
// It returns the nodes and, by service, the term and the keeper.
func Fold(records []fold.Record) (tree.Nodes, map[string]fold.ServiceOwnership) {
	nodes := tree.Nodes{}
	blocks := map[string]fold.ServiceOwnership{}
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
		if record.Claim != nil && blocks[record.Claim.Service].Term == record.Claim.Term {
			block := blocks[record.Claim.Service]
			block.Term = version
			block.Keeper = record.Author
			blocks[record.Claim.Service] = block
		}
		if record.Assign != nil {
			block := blocks[record.Assign.Service]
			if block.Term == record.Assign.Term && block.Sequence == record.Assign.Base {
				block.Sequence = version
				blocks[record.Assign.Service] = block
			}
		}
	}
	return nodes, blocks
}

func hasCurrentBases(nodes tree.Nodes, change fold.Change) bool {
	for _, edit := range change.Edits {
		if nodes[edit.Path].Version != edit.Base {
			return false
		}
	}
	return true
}
