package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"cherrykeel/bench"
	"cherrykeel/score"
)

type commands struct {
	Latency  latencyCommand  `cmd:"" help:"Requests a second and latency through one host, beside the stand-in called directly. Example: measure latency --callers 1"`
	Overload overloadCommand `cmd:"" help:"Goodput and latency under load, beside round robin with blind retries. Example: measure overload --length 5s"`
	Intents  intentsCommand  `cmd:"" help:"Cost of guarding against repeats through the log. Example: measure intents --callers 8"`
	Slopes   slopesCommand   `cmd:"" help:"How state, messages and processor time grow with size. Example: measure slopes"`
	Owners   ownersCommand   `cmd:"" default:"withargs" help:"Imbalance, churn and unavailable time of keyed services. Example: measure owners --size huon"`
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

type latencyCommand struct {
	Callers int           `help:"Callers at a time." default:"1"`
	Length  time.Duration `help:"Time for each way of calling." default:"5s"`
	JSON    bool          `help:"Print JSON for programs."`
}

func (command *latencyCommand) Run() error {
	rows, err := bench.Latency(context.Background(), command.Callers, command.Length)
	if err != nil {
		return err
	}
	if command.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer table.Flush()
	_, _ = fmt.Fprintln(table, "WAY\tCALLERS\tREQUESTS/S\tMEDIAN\tP99")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.0f\t%v\t%v\n", row.Way, row.Callers, row.PerSecond, row.Median, row.P99)
	}
	return nil
}

type overloadCommand struct {
	Loads     []float64     `help:"Offered loads, over the capacity." default:"0.5,0.9,1.5,3"`
	Condition string        `help:"Only conditions whose name holds this text."`
	Length    time.Duration `help:"Time for each load." default:"5s"`
	JSON      bool          `help:"Print JSON for programs."`
}

func (command *overloadCommand) Run() error {
	rows := []bench.OverloadRow{}
	for _, condition := range []bench.Condition{bench.Healthy, bench.OneSlow, bench.OneLying} {
		if !strings.Contains(string(condition), command.Condition) {
			continue
		}
		measured, err := bench.Overload(context.Background(), condition, command.Loads, command.Length)
		if err != nil {
			return err
		}
		rows = append(rows, measured...)
	}
	if command.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer table.Flush()
	_, _ = fmt.Fprintln(table, "CONDITION\tVERSION\tLOAD\tGOODPUT\tLOOKUP P50\tP99\tSEARCH P50\tP99\tMOST AT ONCE")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.1f\t%.2f\t%v\t%v\t%v\t%v\t%d\n", row.Condition, row.Version, row.Load, row.Goodput,
			short(row.LookupMedian), short(row.LookupP99), short(row.SearchMedian), short(row.SearchP99), row.MostAtOnce)
	}
	return nil
}

type intentsCommand struct {
	Callers int           `help:"Callers at a time." default:"1"`
	Length  time.Duration `help:"Time for each way." default:"3s"`
	JSON    bool          `help:"Print JSON for programs."`
}

func (command *intentsCommand) Run() error {
	rows, err := bench.Intents(context.Background(), command.Callers, command.Length)
	if err != nil {
		return err
	}
	if command.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer table.Flush()
	_, _ = fmt.Fprintln(table, "WAY\tCALLERS\tREQUESTS/S\tMEDIAN\tP99\tAPPENDS/REQUEST\tAPPENDS/S")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.0f\t%v\t%v\t%.2f\t%.0f\n", row.Way, row.Callers, row.PerSecond, row.Median, row.P99, row.AppendsPerRequest, row.AppendsPerSecond)
	}
	return nil
}

type slopesCommand struct {
	JSON bool `help:"Print JSON for programs."`
}

func (command *slopesCommand) Run() error {
	rows, err := bench.Slopes()
	if err != nil {
		return err
	}
	if command.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer table.Flush()
	_, _ = fmt.Fprintln(table, "WHAT\tOF\tAT\tVALUE\tUNIT")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.4g\t%s\n", row.What, row.Of, row.At, row.Value, row.Unit)
	}
	return nil
}

func short(duration time.Duration) time.Duration {
	return duration.Round(100 * time.Microsecond)
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
