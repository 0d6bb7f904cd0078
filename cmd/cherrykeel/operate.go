package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cherrykeel/opctl"
	adapter "cherrykeel/platform"
)

// platform holds the flags that the operators' commands share: the platform's addresses and the output format.
type platform struct {
	Log     string        `help:"URL of the platform's log." env:"CHERRYKEEL_LOG" default:"http://127.0.0.1:9001"`
	Hosts   string        `help:"URL of the platform's list of hosts." env:"CHERRYKEEL_HOSTS" default:"http://127.0.0.1:9002"`
	Timeout time.Duration `help:"Longest wait for the platform." default:"10s"`
	JSON    bool          `help:"Print JSON for programs."`
}

func (platform *platform) client() *opctl.Client {
	return opctl.NewClient(platform.Log, platform.Hosts, platform.Timeout)
}

// print writes a value as JSON if that flag is set, or else calls printText.
func (platform *platform) print(value any, printText func()) error {
	if platform.JSON {
		return opctl.PrintJSON(os.Stdout, value)
	}
	printText()
	return nil
}

// checkCommand checks a settings tree, or a settings file of the users' platform.
type checkCommand struct {
	Dir string `arg:"" help:"Directory with firm.toml and TEAM/SERVICE.toml, or a settings file of the users' platform (.json)."`
}

func (command *checkCommand) Run() error {
	if filepath.Ext(command.Dir) == ".json" {
		return command.checkSettings()
	}
	_, err := opctl.Check(os.Stdout, command.Dir)
	return err
}

func (command *checkCommand) checkSettings() error {
	settings, err := adapter.LoadSettings(command.Dir)
	if err != nil {
		return &opctl.ExitError{Code: opctl.ExitInvalid, Err: err}
	}
	fmt.Printf("%s: host %s in %s, store %s\n", command.Dir, settings.Name, settings.Zone, settings.StoreURL)
	return nil
}

// planCommand shows what a publish would change.
type planCommand struct {
	platform
	Dir   string `arg:"" help:"Directory with the settings tree."`
	Whole bool   `help:"Remove teams that the directory does not hold."`
}

func (command *planCommand) Run() error {
	plan, err := command.client().PlanDir(context.Background(), command.Dir, command.Whole)
	if err != nil {
		return err
	}
	return command.print(plan, func() { opctl.PrintPlan(os.Stdout, plan) })
}

// publishCommand publishes a settings tree.
type publishCommand struct {
	platform
	Dir    string        `arg:"" help:"Directory with the settings tree."`
	Reason string        `help:"Why, for the audit trail." required:""`
	Author string        `help:"Who, for the audit trail; by default the user's name."`
	Base   int64         `help:"Refuse if another version than this is in force."`
	Whole  bool          `help:"Remove teams that the directory does not hold."`
	Wait   time.Duration `help:"Longest wait for the change to be in force on every host; 0s does not wait." default:"30s"`
}

func (command *publishCommand) Run() error {
	author := command.Author
	if author == "" {
		author = opctl.Author()
	}
	options := opctl.PublishOptions{
		Author: author,
		Reason: command.Reason,
		Base:   command.Base,
		Whole:  command.Whole,
		Wait:   command.Wait,
	}
	publication, err := command.client().PublishDir(context.Background(), command.Dir, options)
	if err != nil && !command.JSON {
		return err
	}
	printErr := command.print(publication, func() { opctl.PrintPublication(os.Stdout, publication) })
	if err != nil {
		return err
	}
	return printErr
}

// showCommand shows the settings in force at a path.
type showCommand struct {
	platform
	Path string `arg:"" optional:"" help:"TEAM or TEAM/SERVICE; the firm if left out."`
}

func (command *showCommand) Run() error {
	sources, err := command.client().Show(context.Background(), command.Path)
	if err != nil {
		return err
	}
	return command.print(sources, func() { opctl.PrintNode(os.Stdout, sources) })
}

// explainCommand shows which level sets a field.
type explainCommand struct {
	platform
	Path  string `arg:"" help:"TEAM or TEAM/SERVICE."`
	Field string `arg:"" help:"Name of a setting."`
}

func (command *explainCommand) Run() error {
	source, err := command.client().Explain(context.Background(), command.Path, command.Field)
	if err != nil {
		return err
	}
	return command.print(source, func() {
		origin := "is set by " + source.Path
		switch {
		case source.Default:
			origin = "is the default; no level sets it"
		case source.Path == "":
			origin = "is set by the firm"
		}
		fmt.Printf("%s of %s is %v and %s\n", source.Field, command.Path, source.Value, origin)
	})
}

// historyCommand shows the audit trail, or the outcome of one change.
type historyCommand struct {
	platform
	Path string `arg:"" optional:"" help:"Only changes of this node."`
	ID   string `help:"Tell what became of the change with this id."`
}

func (command *historyCommand) Run() error {
	if command.ID != "" {
		verdict, err := command.client().Outcome(context.Background(), command.ID)
		if err != nil {
			return err
		}
		return command.print(verdict, func() { fmt.Printf("accepted as version %d\n", verdict.Version) })
	}
	entries, err := command.client().History(context.Background(), command.Path, command.Path == "")
	if err != nil {
		return err
	}
	return command.print(entries, func() { opctl.PrintHistory(os.Stdout, entries) })
}

// statusCommand shows the hosts' status.
type statusCommand struct {
	platform
}

func (command *statusCommand) Run() error {
	statuses, err := command.client().HostStatuses(context.Background())
	if err != nil {
		return err
	}
	return command.print(statuses, func() { opctl.PrintStatus(os.Stdout, statuses) })
}

// ownerCommand shows the owner of a key.
type ownerCommand struct {
	platform
	Service string `arg:"" help:"TEAM/SERVICE."`
	Key     string `arg:"" help:"The key, as callers give it."`
}

func (command *ownerCommand) Run() error {
	ownership, err := command.client().Owner(context.Background(), command.Service, command.Key)
	if err != nil {
		return err
	}
	return command.print(ownership, func() {
		fmt.Printf("%s of %s is in partition %d, owned by %s; next would be %s (keeper %s, term %d)\n",
			ownership.Key, ownership.Service, ownership.Partition, ownership.Owner, ownership.Successor, ownership.Keeper, ownership.Term)
	})
}
