package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cherrykeel/opctl"
)

// serve listens, and then runs a host until SIGTERM or Ctrl-C. The signals are received before the host listens, since
// a host that one of them ended afterwards would reset the connections that callers have opened meanwhile.
func serve(listen func() error, run func(ctx context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := listen()
	if err != nil {
		return &opctl.ExitError{Code: opctl.ExitInvalid, Err: err}
	}
	return run(ctx)
}
