package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"cherrykeel/bench"
)

// callerOptions holds the flags for the number of callers and the duration.
type callerOptions struct {
	Callers int           `help:"Callers at a time." default:"1"`
	Length  time.Duration `help:"Time for each way of calling." default:"5s"`
}

// latencyCommand measures latency and request rate through one host, and of an upstream that is called directly.
type latencyCommand struct {
	output
	callerOptions
}

func (command *latencyCommand) Run() error {
	rows, err := bench.Latency(context.Background(), command.Callers, command.Length)
	if err != nil {
		return err
	}
	return printRows(command.output, rows, latencyColumns, latencyCells)
}

var latencyColumns = []string{"WAY", "CALLERS", "REQUESTS/S", "MEDIAN", "P99"}

func latencyCells(row bench.LatencyRow) []string {
	return []string{row.Way, fmt.Sprint(row.Callers), fmt.Sprintf("%.0f", row.PerSecond), formatDuration(row.Median), formatDuration(row.P99)}
}

// intentsCommand measures what it costs to prevent repeated execution by records in the log.
type intentsCommand struct {
	output
	callerOptions
}

func (command *intentsCommand) Run() error {
	rows, err := bench.Intents(context.Background(), command.Callers, command.Length)
	if err != nil {
		return err
	}
	return printRows(command.output, rows, append(latencyColumns, "APPENDS/REQUEST", "APPENDS/S"), func(row bench.IntentsRow) []string {
		return append(latencyCells(row.LatencyRow), fmt.Sprintf("%.2f", row.AppendsPerRequest), fmt.Sprintf("%.0f", row.AppendsPerSecond))
	})
}

// overloadCommand measures goodput and latency at several loads, in each condition.
type overloadCommand struct {
	output
	Loads     []float64     `help:"Offered loads, over the capacity." default:"0.5,0.9,1.5,3"`
	Condition string        `help:"Only conditions whose name holds this text."`
	Length    time.Duration `help:"Time for each load." default:"5s"`
}

func (command *overloadCommand) Run() error {
	rows := []bench.OverloadRow{}
	for _, condition := range bench.Conditions {
		if !strings.Contains(string(condition), command.Condition) {
			continue
		}
		measured, err := bench.Overload(context.Background(), condition, command.Loads, command.Length)
		if err != nil {
			return err
		}
		rows = append(rows, measured...)
	}
	columns := []string{"CONDITION", "VERSION", "LOAD", "GOODPUT", "LOOKUP P50", "P99", "SEARCH P50", "P99", "MOST AT ONCE"}
	return printRows(command.output, rows, columns, func(row bench.OverloadRow) []string {
		return []string{
			string(row.Condition), row.Version, fmt.Sprintf("%.1f", row.Load), fmt.Sprintf("%.2f", row.Goodput),
			formatDuration(row.LookupMedian), formatDuration(row.LookupP99), formatDuration(row.SearchMedian), formatDuration(row.SearchP99), fmt.Sprint(row.MostAtOnce),
		}
	})
}

// slopesCommand measures how state, messages and processor time grow with the size of a deployment.
type slopesCommand struct {
	output
}

func (command *slopesCommand) Run() error {
	rows, err := bench.Slopes()
	if err != nil {
		return err
	}
	return printRows(command.output, rows, []string{"WHAT", "OF", "AT", "VALUE", "UNIT"}, func(row bench.SlopeRow) []string {
		return []string{row.What, row.Of, fmt.Sprint(row.At), fmt.Sprintf("%.4g", row.Value), row.Unit}
	})
}
