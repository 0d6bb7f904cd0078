package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"cherrykeel/hangup"
	"cherrykeel/opctl"
)

const description = `A router in front of servers that hold keys exclusively.

Exit codes: 0 done; 1 wrong input, nothing was sent; 2 the change lost to another one;
3 outcome unknown, look it up with history --id; 4 platform or hosts unreachable, nothing
was changed; 5 accepted, but not yet in force on every host.`

// commands are the program's subcommands.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run an entry host until SIGTERM or Ctrl-C."`
	Entry   entryCommand   `cmd:"" help:"Run an entry host on the users' platform until SIGTERM."`
	Demo    demoCommand    `cmd:"" help:"Show both example trees at work, in one process, until Ctrl-C."`
	Check   checkCommand   `cmd:"" help:"Check a settings tree. Example: cherrykeel check examples/hanbit"`
	Plan    planCommand    `cmd:"" help:"Show what a publish would change. Example: cherrykeel plan examples/hanbit"`
	Publish publishCommand `cmd:"" help:"Publish a settings tree. Example: cherrykeel publish examples/hanbit --reason 'longer timeouts'"`
	Show    showCommand    `cmd:"" help:"Show the settings in force at a path. Example: cherrykeel show hanbit/holds"`
	Explain explainCommand `cmd:"" help:"Show which level sets a field. Example: cherrykeel explain hanbit/holds Timeout"`
	History historyCommand `cmd:"" help:"Show who changed what, when and why. Example: cherrykeel history hanbit/holds"`
	Status  statusCommand  `cmd:"" help:"Show hosts, versions in force, keepers and owners."`
	Owner   ownerCommand   `cmd:"" help:"Show who owns a key. Example: cherrykeel owner hanbit/availability hall-7"`
}

// entryCommandName is the command that rereads its settings on SIGHUP; SIGHUP ends the other ones.
const entryCommandName = "entry"

func main() {
	var commands commands
	parser, err := kong.New(&commands,
		kong.Name("cherrykeel"),
		kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.UsageOnError())
	if err != nil {
		panic(err)
	}
	context, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(opctl.ExitInvalid)
	}
	if context.Command() != entryCommandName {
		hangup.RestoreDefault()
	}
	os.Exit(exitCode(context.Run()))
}

// exitCode prints an error to stderr and returns its exit code.
func exitCode(err error) int {
	if err == nil {
		return opctl.ExitDone
	}
	fmt.Fprintln(os.Stderr, err)
	var exit *opctl.ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return opctl.ExitInvalid
}
