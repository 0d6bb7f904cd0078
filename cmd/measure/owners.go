package main

import (
	"fmt"
	"strings"
	"time"

	"cherrykeel/score"
)

// ownersCommand measures imbalance, churn and unavailable time of keyed services in seeded scenarios.
type ownersCommand struct {
	output
	Size     string `help:"Only this user's size." enum:"hanbit,huon,all" default:"all"`
	Scenario string `help:"Only scenarios whose name holds this text."`
	Seed     int64  `help:"Seed of the runs." default:"1"`
}

func (command *ownersCommand) Run() error {
	rows := []score.Row{}
	for _, size := range score.Sizes {
		if command.Size != "all" && command.Size != size.Name {
			continue
		}
		for _, scenario := range score.Scenarios {
			if strings.Contains(scenario.Name, command.Scenario) {
				rows = append(rows, score.Run(size, scenario, command.Seed)...)
			}
		}
	}
	columns := []string{"SIZE", "SCENARIO", "VERSION", "KEYS MAX/MEAN", "LOAD MAX/MEAN", "MOVED", "LEAST", "CHURN", "LONGEST GAP", "MEAN GAP", "TWO OWNERS"}
	return printRows(command.output, rows, columns, ownersCells)
}

func ownersCells(row score.Row) []string {
	cells := []string{
		row.Size, row.Scenario, row.Version,
		fmt.Sprintf("%.2f", row.KeyImbalance), fmt.Sprintf("%.2f", row.LoadImbalance),
		fmt.Sprint(row.Moved), fmt.Sprint(row.MinMoved), formatChurn(row),
	}
	if row.Version == "naive" {
		return append(cells, "list's lag", "-", "not kept out")
	}
	return append(cells, row.LongestGap.String(), row.MeanGap.Round(time.Millisecond).String(), fmt.Sprint(row.OwnerConflicts))
}

// formatChurn returns the number of moved partitions relative to the number that had to move, or "-" if none had to.
func formatChurn(row score.Row) string {
	if row.MinMoved == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(row.Moved)/float64(row.MinMoved))
}
