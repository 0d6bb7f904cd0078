package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"cherrykeel/platform/soak"
)

// flags are the program's flags; it has no subcommands.
type flags struct {
	Seed      uint64        `help:"The first seed; it chooses the faults and the callers' requests." default:"1"`
	Seeds     int           `help:"How many seeds are run, one after the other." default:"1"`
	For       time.Duration `help:"How long faults come." default:"30s"`
	Hosts     int           `help:"Entry hosts, each a process." default:"8"`
	Upstreams int           `help:"Upstreams of each of the three services." default:"5"`
	Callers   int           `help:"Callers that keep connections." default:"24"`
	Pause     time.Duration `help:"Mean pause of a caller between requests." default:"40ms"`
	Grace     time.Duration `help:"Time that a stopping host has; 0 is 6 s, and 10 s for every third seed." default:"0s"`
	Bounds    bool          `help:"Check bounds in time; only a calm machine bears that." default:"true" negatable:""`
	Patience  time.Duration `help:"How long service is waited for at the beginning and the end." default:"60s"`
	Program   string        `help:"The cherrykeel program." default:"target/cherrykeel" type:"existingfile"`
	Kept      bool          `help:"Run the kept seeds, which have failed once, and no others."`
	Keep      bool          `help:"Keep the hosts' logs of seeds that fail."`
}

// Run runs the seeds one after the other and returns an error if any guarantee was broken.
func (flags *flags) Run() error {
	totalFailures := 0
	if flags.Kept {
		return flags.runRegressionSeeds()
	}
	for i := range flags.Seeds {
		failures, err := flags.runSeed(flags.Seed + uint64(i))
		if err != nil {
			return err
		}
		totalFailures += failures
	}
	if totalFailures > 0 {
		return errors.Errorf("%d promises broken", totalFailures)
	}
	return nil
}

// runRegressionSeeds runs each regression seed with its own number of hosts and duration, up to the first one that fails.
func (flags *flags) runRegressionSeeds() error {
	flags.Kept = false
	flags.Seeds = 1
	if flags.Grace == 0 {
		flags.Grace = soak.DefaultGrace
	}
	for _, regression := range soak.RegressionSeeds {
		fmt.Println("kept:", regression.Cause)
		flags.Seed, flags.Hosts, flags.For = regression.Seed, regression.Hosts, regression.Duration
		err := flags.Run()
		if err != nil {
			return err
		}
	}
	return nil
}

// runSeed runs one seed in a temporary directory and returns the number of failures. The directory stays if the
// run ends with an error, or if Keep is set and there are failures.
func (flags *flags) runSeed(seed uint64) (int, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return 0, err
	}
	program, err := filepath.Abs(flags.Program)
	if err != nil {
		return 0, err
	}
	grace := flags.Grace
	if grace == 0 {
		grace = soak.GraceOf(seed)
	}
	outcome, err := soak.Soak(ctx, soak.Options{
		Seed: seed, Duration: flags.For, Hosts: flags.Hosts, Upstreams: flags.Upstreams, Callers: flags.Callers,
		Pause: flags.Pause, Grace: grace, CheckTimeBounds: flags.Bounds, ServiceTimeout: flags.Patience, Program: program, Dir: dir,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "seed %d, logs in %s", seed, dir)
	}
	outcome.Write(os.Stdout)
	if flags.Keep && len(outcome.Failures) > 0 {
		fmt.Println("  logs:", dir)
		return len(outcome.Failures), nil
	}
	return len(outcome.Failures), os.RemoveAll(dir)
}

func main() {
	var flags flags
	context := kong.Parse(&flags,
		kong.Name("soak"),
		kong.Description("Entry hosts as real processes under seeded faults; docs/SOAK.md tells how to read a failure."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	context.FatalIfErrorf(context.Run())
}
