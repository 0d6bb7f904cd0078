package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"cherrykeel/score"
)

type commands struct {
	Owners ownersCommand `cmd:"" default:"withargs" help:"Imbalance, churn and unavailable time of keyed services. Example: measure owners --size huon"`
}

type ownersCommand struct {
	Size     string `help:"Only this user's size." enum:"hanbit,huon,all" default:"all"`
	Scenario string `help:"Only scenarios whose name holds this text."`
	Seed     int64  `help:"Seed of the runs." default:"1"`
	JSON     bool   `help:"Print JSON for programs."`
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
	if command.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	printRows(rows)
	return nil
}

func printRows(rows []score.Row) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer table.Flush()
	_, _ = fmt.Fprintln(table, "SIZE\tSCENARIO\tVERSION\tKEYS MAX/MEAN\tLOAD MAX/MEAN\tMOVED\tLEAST\tCHURN\tLONGEST GAP\tMEAN GAP\tTWO OWNERS")
	for _, row := range rows {
		longest, mean, double := row.LongestGap.String(), row.MeanGap.Round(time.Millisecond).String(), fmt.Sprint(row.TwoOwners)
		if row.Version == "naive" {
			longest, mean, double = "list's lag", "-", "not kept out"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.2f\t%.2f\t%d\t%d\t%s\t%s\t%s\t%s\n",
			row.Size, row.Scenario, row.Version, row.KeyImbalance, row.LoadImbalance, row.Moved, row.Least, churn(row), longest, mean, double)
	}
}

func churn(row score.Row) string {
	if row.Least == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(row.Moved)/float64(row.Least))
}

func main() {
	var commands commands
	context := kong.Parse(&commands,
		kong.Name("measure"),
		kong.Description("Measures of the decisions, on a virtual clock; one seed gives one result."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	context.FatalIfErrorf(context.Run())
}
