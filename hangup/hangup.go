package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = make(chan os.Signal, 1)

// The signal is received from the initialization of packages on, of which this one is among the first. A signal that
// came before the program received it ended the process, and on a busy machine that was possible for half a second.
func init() {
	signal.Notify(signals, syscall.SIGHUP)
}

// Signals returns the channel that gets a value after a SIGHUP.
func Signals() <-chan os.Signal {
	return signals
}

// RestoreDefault restores the default action of SIGHUP, which ends the process, as is usual when a terminal is closed.
func RestoreDefault() {
	signal.Reset(syscall.SIGHUP)
}
