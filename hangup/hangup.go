package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = make(chan os.Signal, 1)

// The signal is received from the initialization of packages on, of which this one is among the first.
func init() {
	signal.Notify(signals, syscall.SIGHUP)
}

// Signals returns the channel that gets a value after a SIGHUP.
func Signals() <-chan os.Signal {
	return signals
}

// RestoreDefault restores the action of SIGHUP that the process has inherited: usually the default, which ends the
// process, as is usual when a terminal is closed.
func RestoreDefault() {
	signal.Reset(syscall.SIGHUP)
	restoreInherited()
}
