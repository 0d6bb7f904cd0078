package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = make(chan os.Signal, 1)

// The signal is taken while packages are initialised, this one among the first: a signal that came before the program
// took it ended the process, and on a busy machine that was half a second.
func init() {
	signal.Notify(signals, syscall.SIGHUP)
}

// Signals gives a value after the signal has come.
func Signals() <-chan os.Signal {
	return signals
}

// RestoreDefault lets the signal end the process, as is usual when a terminal is closed.
func RestoreDefault() {
	signal.Reset(syscall.SIGHUP)
}
