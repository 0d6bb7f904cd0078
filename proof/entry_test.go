package proof_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/events"
)

// entrySettings returns the platform's settings file for an entry host. No process serves the store's address.
func entrySettings(grace string) string {
	port := func() string {
		listener, err := net.Listen("tcp", "127.0.0.77:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		return port
	}
	inner := port()
	return fmt.Sprintf(`{
  "nodeName": "front-1", "ip": "127.0.0.77", "zone": "z1",
  "listen": {"front": "127.0.0.77:%s", "ready": "127.0.0.77:%s"},
  "internalPorts": [%s, %s], "heartbeat": "870ms",
  "limits": {"cpuShare": 0.32, "memoryMb": 284, "maxFds": 4100},
  "bounds": {"drain": "2000ms", "grace": %q, "maxHold": "10000ms", "stableWindow": "3000ms",
             "retryBudgetRatio": 0.2, "budgetWindow": "10s", "budgetSlack": 56},
  "platform": {"address": "127.0.0.77:%s", "form": "log"}
}`, port(), port(), inner, inner, grace, port())
}

var _ = Describe("an entry host on the platform", func() {
	// The platform changes the settings file and then sends SIGHUP, which ends a process that does not handle it,
	// together with all its requests. Guards against a host that ends on SIGHUP or on an invalid settings file.
	It("rereads its settings on SIGHUP and keeps running, also when they are invalid", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		settings := entrySettings("1s")
		Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
		host := startProcess("entry", cherrykeelPath, "entry", "--config", path)
		Eventually(host.output.text, waitTimeout).Should(ContainSubstring(events.EntryStarted.Text))
		host.signal(syscall.SIGHUP)
		Eventually(host.output.text, waitTimeout).Should(ContainSubstring(events.SettingsReread.Text))
		Expect(os.WriteFile(path, []byte("{"), 0o600)).To(Succeed())
		host.signal(syscall.SIGHUP)
		Eventually(host.output.text, waitTimeout).Should(ContainSubstring(events.SettingsInvalid.Text))
		Expect(host.done).NotTo(BeClosed())
		host.signal(syscall.SIGTERM)
		Eventually(host.done, waitTimeout).Should(BeClosed())
		Expect(host.command.ProcessState.ExitCode()).To(BeZero())
		Expect(host.output.text()).To(ContainSubstring(events.EntryStopped.Text))
	})
})
