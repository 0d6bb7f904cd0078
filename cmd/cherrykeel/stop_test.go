package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"golang.org/x/sys/unix"

	"cherrykeel/fakes"
	adapter "cherrykeel/platform"
)

const entryFile = `{
  "nodeName": "front-1", "ip": "127.0.0.1", "zone": "z1", "listen": {"front": %q, "ready": %q}, "internalPorts": [%s, %s],
  "heartbeat": "1s", "limits": {"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100},
  "bounds": {"drain": "2000ms", "grace": "1s", "configApply": "2000ms", "maxHold": "10000ms", "stableWindow": "3000ms",
    "retryBudgetRatio": 0.2, "budgetSlack": 56, "budgetWindow": "10s"},
  "platform": {"address": %q, "form": "log"}
}`

// fill writes to a pipe until it takes no more.
func fill(pipe *os.File) {
	GinkgoHelper()
	raw := int(pipe.Fd())
	Expect(unix.SetNonblock(raw, true)).To(Succeed())
	chunk := make([]byte, 1)
	var err error
	for err == nil {
		_, err = unix.Write(raw, chunk)
	}
	Expect(err).To(MatchError(syscall.EAGAIN))
	Expect(unix.SetNonblock(raw, false)).To(Succeed())
}

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

var _ = Describe("an entry host whose log's reader has stalled", func() {
	// Guards against a process that has served its last request and waits for ever to write its log.
	It("ends when it is told to stop", func() {
		program, err := gexec.Build("cherrykeel/cmd/cherrykeel")
		Expect(err).NotTo(HaveOccurred())
		store := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(store.Close)
		front, ready, inner := fakes.FreeAddress(), fakes.FreeAddress(), fakes.FreeAddress()
		_, port, _ := net.SplitHostPort(inner)
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		text := fmt.Sprintf(entryFile, front, ready, port, port, store.Listener.Addr().String())
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		reader, writer, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(reader.Close)
		fill(writer)

		command := exec.Command(program, entryName)
		command.Env = append(os.Environ(), adapter.SettingsVariable+"="+path)
		command.Stdout = writer
		Expect(command.Start()).To(Succeed())
		Expect(writer.Close()).To(Succeed())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = command.Wait()
		}()
		DeferCleanup(func() {
			_ = command.Process.Kill()
			<-ended
		})
		Eventually(func() error {
			response, err := http.Get("http://" + ready + "/-/ready")
			if err == nil {
				_ = response.Body.Close()
			}
			return err
		}, time.Minute).Should(Succeed())
		Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(ended, time.Minute).Should(BeClosed())
		Expect(command.ProcessState.ExitCode()).To(BeZero())
	})
})
