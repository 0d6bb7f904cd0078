package main

import (
	"context"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// signalVariable makes the test program a host that gets this signal while it opens its sockets.
	signalVariable = "CHERRYKEEL_TEST_SIGNAL"
	stopTimeout    = 10 * time.Second
	exitStopped    = 7
	exitNotTold    = 8
)

func TestMain(m *testing.M) {
	number, err := strconv.Atoi(os.Getenv(signalVariable))
	if err != nil {
		os.Exit(m.Run())
	}
	listen := func() error { return syscall.Kill(os.Getpid(), syscall.Signal(number)) }
	_ = serve(listen, exitWhenStopped)
}

// exitWhenStopped ends the process with the exit code that tells whether the context has ended.
func exitWhenStopped(ctx context.Context) error {
	select {
	case <-ctx.Done():
		os.Exit(exitStopped)
	case <-time.After(stopTimeout):
		os.Exit(exitNotTold)
	}
	return nil
}

var _ = Describe("a host that is told to stop while it opens its sockets", func() {
	// Guards against a host that is ended by a signal, and resets its callers' connections, in place of stopping.
	DescribeTable("stops as one that serves", func(told syscall.Signal) {
		host := exec.Command(os.Args[0])
		host.Env = append(os.Environ(), signalVariable+"="+strconv.Itoa(int(told)))
		Expect(host.Run()).To(MatchError(ContainSubstring("exit status")))
		Expect(host.ProcessState.ExitCode()).To(Equal(exitStopped))
	},
		Entry("when its platform tells it", syscall.SIGTERM),
		Entry("when Ctrl-C is pressed", syscall.SIGINT),
	)
})
