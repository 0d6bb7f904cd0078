package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
)

// commands are the program's subcommands.
type commands struct {
	Owners   ownersCommand   `cmd:"" default:"withargs" help:"Imbalance, churn and unavailable time of keyed services. Example: measure owners --size huon"`
	Latency  latencyCommand  `cmd:"" help:"Requests a second and latency through one host, beside the stand-in called directly. Example: measure latency --callers 1"`
	Overload overloadCommand `cmd:"" help:"Goodput and latency under load, beside round robin with blind retries. Example: measure overload --length 5s"`
	Intents  intentsCommand  `cmd:"" help:"Cost of guarding against repeats through the log. Example: measure intents --callers 8"`
	Slopes   slopesCommand   `cmd:"" help:"How state, messages and processor time grow with size. Example: measure slopes"`
}

// output holds the flag for the output format.
type output struct {
	JSON bool `help:"Print JSON for programs."`
}

// printRows prints rows as JSON, or as a table with a header of column names and the cells of each row.
func printRows[R any](output output, rows []R, columns []string, cells func(row R) []string) error {
	if output.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(columns, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, strings.Join(cells(row), "\t"))
	}
	return table.Flush()
}

func formatDuration(duration time.Duration) string {
	return duration.Round(10 * time.Microsecond).String()
}

func main() {
	var commands commands
	context := kong.Parse(&commands,
		kong.Name("measure"),
		kong.Description("Measures of the decisions on a virtual clock, where one seed gives one result, and of real hosts over loopback."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	context.FatalIfErrorf(context.Run())
}
