package proof_test

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"cherrykeel/events"
)

const (
	// pipeBytes is the capacity of a pipe, and freeBytes how much of it is free: enough for the trace of one package at
	// most.
	pipeBytes = 4096
	freeBytes = 64
)

// heldStart is a program that is held in the initialization of its first package: it traces each package to a pipe
// that is full.
type heldStart struct {
	process *process
	trace   *os.File
}

// startHeld starts a program, which inherits the default action of SIGHUP, and returns when it is held.
func startHeld(program string, arguments ...string) *heldStart {
	inheritDefaultHangup()
	reader, writer, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(reader.Close)
	_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, pipeBytes)
	Expect(err).NotTo(HaveOccurred())
	_, err = writer.Write(bytes.Repeat([]byte("."), pipeBytes-freeBytes))
	Expect(err).NotTo(HaveOccurred())
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	command.Stderr = writer
	held := &heldStart{process: startCommand(filepath.Base(program), command), trace: reader}
	Expect(writer.Close()).To(Succeed())
	Eventually(held.traced, waitTimeout, "1ms").Should(BeNumerically(">", pipeBytes-freeBytes))
	return held
}

// inheritDefaultHangup lets started programs inherit the default action of SIGHUP, also if it is ignored here.
func inheritDefaultHangup() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	DeferCleanup(signal.Stop, signals)
}

// traced returns how many bytes are in the pipe.
func (held *heldStart) traced() (int, error) {
	return unix.IoctlGetInt(int(held.trace.Fd()), unix.TIOCINQ)
}

// release lets the program go on.
func (held *heldStart) release() {
	go func() { _, _ = io.Copy(io.Discard, held.trace) }()
}

var _ = Describe("a program that starts", func() {
	// Guards against an entry host that is ended by SIGHUP before its program handles the signal.
	It("as an entry host is not ended by a SIGHUP that comes before its first package is initialized", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(path, []byte(entrySettings("1s")), 0o600)).To(Succeed())
		held := startHeld(cherrykeelPath, "entry", "--config", path)
		held.process.signal(syscall.SIGHUP)
		held.release()
		Eventually(held.process.textWhileRunning, waitTimeout).Should(ContainSubstring(events.EntryStarted.Text))
		held.process.signal(syscall.SIGHUP)
		Eventually(held.process.textWhileRunning, waitTimeout).Should(ContainSubstring(events.SettingsReread.Text))
	})

	// Guards against a command that outlives its terminal, since SIGHUP was ignored as it started.
	It("with another command is ended by SIGHUP", func() {
		inheritDefaultHangup()
		demo := startCommand("demo", exec.Command(cherrykeelPath, "demo"))
		Eventually(demo.textWhileRunning, waitTimeout).ShouldNot(BeEmpty())
		demo.signal(syscall.SIGHUP)
		Eventually(demo.done, waitTimeout).Should(BeClosed())
		Expect(demo.waitStatus().Signal()).To(Equal(syscall.SIGHUP))
	})

	// Guards against a command that is ended by SIGHUP although its starter, as nohup does, has the signal ignored.
	It("with another command leaves an ignored SIGHUP ignored", func() {
		signal.Ignore(syscall.SIGHUP)
		demo := startCommand("demo", exec.Command(cherrykeelPath, "demo"))
		signal.Reset(syscall.SIGHUP)
		Eventually(demo.textWhileRunning, waitTimeout).ShouldNot(BeEmpty())
		demo.signal(syscall.SIGHUP)
		demo.signal(syscall.SIGTERM)
		Eventually(demo.done, waitTimeout).Should(BeClosed())
		Expect(demo.waitStatus().Signaled()).To(BeFalse())
	})
})
