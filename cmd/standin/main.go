package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cherrykeel/fakes"
)

// commands are the program's subcommands.
type commands struct {
	Log      logCommand      `cmd:"" help:"The append-only log. Example: standin log --listen 127.0.0.1:9001"`
	Hosts    hostsCommand    `cmd:"" help:"The lagging list of hosts. Example: standin hosts --listen 127.0.0.1:9002"`
	Upstream upstreamCommand `cmd:"" help:"A server that holds keys. Example: standin upstream --name hall-01 --listen 127.0.0.1:7101"`
}

// logCommand runs a stand-in for the platform's log.
type logCommand struct {
	Listen           string `help:"IP and port." default:"127.0.0.1:9001"`
	Retention        int    `help:"Records that each stream keeps; 0 keeps all."`
	AppendsPerSecond int    `help:"Appends a second; 0 has no limit." default:"500"`
}

func (command *logCommand) Run() error {
	log := fakes.NewLog()
	log.SetFaults(fakes.LogFaults{Retention: command.Retention, AppendsPerSecond: command.AppendsPerSecond})
	return serve(command.Listen, log)
}

// hostsCommand runs a stand-in for the platform's host list.
type hostsCommand struct {
	Listen string        `help:"IP and port." default:"127.0.0.1:9002"`
	Lag    time.Duration `help:"Time until a change shows." default:"1s"`
}

func (command *hostsCommand) Run() error {
	hosts := fakes.NewHosts()
	hosts.SetFaults(fakes.HostsFaults{Lag: command.Lag})
	return serve(command.Listen, hosts)
}

// crashExitCode is the exit code of an upstream that crashes on a request.
const crashExitCode = 2

// upstreamCommand runs a stand-in for an upstream.
type upstreamCommand struct {
	Name         string        `help:"Name in the settings." required:""`
	Listen       string        `help:"IP and port." required:""`
	Slots        int           `help:"Requests worked on at a time." default:"3"`
	Queue        int           `help:"Requests that wait; more are shed." default:"16"`
	Work         time.Duration `help:"Time that a request takes." default:"2ms"`
	IgnoreFences bool          `help:"Act on every request, whoever owns the key."`
	EndsOn       string        `help:"Path of requests that end the process as they begin to run."`
}

func (command *upstreamCommand) Run() error {
	return serve(command.Listen, fakes.NewUpstream(fakes.UpstreamOptions{
		Name:          command.Name,
		Slots:         command.Slots,
		QueueLength:   command.Queue,
		Work:          command.Work,
		EnforceFences: !command.IgnoreFences,
		EndsOn:        command.EndsOn,
		End:           func() { os.Exit(crashExitCode) },
	}))
}

// serve prints its address and serves HTTP until SIGTERM or Ctrl-C.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listening on", listener.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func main() {
	var commands commands
	context := kong.Parse(&commands,
		kong.Name("standin"),
		kong.Description("Stand-ins of the outside systems; docs/PROTOCOLS.md tells how to order faults."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	context.FatalIfErrorf(context.Run())
}
