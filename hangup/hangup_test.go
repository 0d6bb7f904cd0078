package hangup_test

import (
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/hangup"
)

func TestHangup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hangup")
}

var _ = Describe("a process that imports the package", func() {
	// Guards against a host that gets the signal for new settings while it starts, and is ended by it.
	It("receives the signal without a call", func() {
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(hangup.Signals(), "10s").Should(Receive(Equal(syscall.SIGHUP)))
	})
})
