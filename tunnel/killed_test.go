package tunnel_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/tunnel"
)

// peerVariable names the variable with which this program serves as a host for the given other one, until it is killed.
const peerVariable = "CHERRYKEEL_TUNNEL_PEER"

// serveForPeer serves tunnels for the host in peerVariable, and writes the address to standard output.
func serveForPeer() {
	var peer cherrykeel.Peer
	err := json.Unmarshal([]byte(os.Getenv(peerVariable)), &peer)
	if err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	dialer := tunnel.NewDialer(tunnel.Settings{
		Self: cherrykeel.Peer{Name: "between", Incarnation: "between-1"}, Clock: cherrykeel.SystemClock(), Logger: zap.NewNop(), Scope: tally.NoopScope,
		Dial: (&net.Dialer{}).DialContext, UserTimeout: time.Second,
		FindUpstream: func(address string) (cherrykeel.Upstream, bool) { return cherrykeel.Upstream{Address: address}, true },
		FindOthers:   func(int, func(cherrykeel.Upstream) bool) []string { return nil },
		ShortName:    func(id string) string { return id },
	})
	dialer.SetPeers([]cherrykeel.Peer{peer})
	fmt.Println(listener.Addr())
	tunnel.NewServer(dialer, 16).Serve(listener)
}

// startBetween starts a process that serves tunnels for the network's first host, which knows it as its only peer.
func startBetween(network *network) *os.Process {
	GinkgoHelper()
	self, err := json.Marshal(network.hosts[0].peer)
	Expect(err).NotTo(HaveOccurred())
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), peerVariable+"="+string(self))
	output, err := process.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(process.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	between := cherrykeel.Peer{Name: "between", Incarnation: "between-1", InternalAddress: strings.TrimSpace(line), Zone: "z"}
	network.hosts[0].dialer.SetPeers([]cherrykeel.Peer{network.hosts[0].peer, between})
	return process.Process
}

var _ = Describe("a connection through a host whose process is killed", func() {
	// Guards against a part of an answer that is passed on as the whole: an answer without a length ends with its connection,
	// and the system ends the connections of a process that is killed in order.
	It("ends by a reset", func() {
		network := newNetwork(1)
		process := startBetween(network)
		address := network.listen(func(conn *net.TCPConn) { _, _ = conn.Write([]byte("part")) })
		network.hosts[0].refuse()
		conn, err := network.hosts[0].open(address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.(interface{ MarksEnd() bool }).MarksEnd()).To(BeTrue())
		part := make([]byte, 4)
		_, err = io.ReadFull(conn, part)
		Expect(err).NotTo(HaveOccurred())
		Expect(process.Signal(syscall.SIGKILL)).To(Succeed())
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = conn.Read(part)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// Guards against the same through a host of a build that ends in order when it is killed.
	It("does not mark its end if the host in between does not say so", func() {
		network := newNetwork(1)
		before := newHostOfBuildBefore("Opened")
		network.hosts[0].dialer.SetPeers([]cherrykeel.Peer{network.hosts[0].peer, before})
		network.hosts[0].refuse()
		conn, err := network.hosts[0].open(network.list("127.0.0.1:1"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.(interface{ MarksEnd() bool }).MarksEnd()).To(BeFalse())
	})
})

// isStopped reports whether all threads of a process are stopped.
func isStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	Expect(err).NotTo(HaveOccurred())
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil || !strings.Contains(string(stat), ") T ") {
			return false
		}
	}
	return len(threads) > 0
}

var _ = Describe("a connection through a host that gets no processor", func() {
	// Guards against two owners of a key: the keeper gives a grant up and counts the lease from the latest arrival, while the
	// grant lies at the host in between, which passes it on later than that. The host stands still for less than what counts
	// as a suspension.
	It("passes on nothing that its user has given up", func() {
		network := newNetwork(1)
		process := startBetween(network)
		received := make(chan int, 1)
		address := network.listen(func(conn *net.TCPConn) {
			buffer := make([]byte, 64)
			count, _ := conn.Read(buffer)
			received <- count
		})
		network.hosts[0].refuse()
		conn, err := network.hosts[0].open(address)
		Expect(err).NotTo(HaveOccurred())
		Expect(process.Signal(syscall.SIGSTOP)).To(Succeed())
		Eventually(func() bool { return isStopped(process.Pid) }, waitLimit).Should(BeTrue())
		_, err = conn.Write([]byte("grant"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		Expect(conn.(interface{ SetLinger(int) error }).SetLinger(0)).To(Succeed())
		Expect(conn.Close()).To(Succeed())
		time.Sleep(100 * time.Millisecond)
		Expect(process.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(received, waitLimit).Should(Receive(BeZero()))
	})
})
