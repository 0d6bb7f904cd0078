package proof_test

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/fakes"
)

const (
	// crashesBeforeDenial is the number of crashes after which hosts deny the request that caused them, maxLaterSends
	// how often all hosts together may still send it to an upstream after that, denialSpreadTime the time in which the
	// denial reaches all hosts, and restartDelay the time from the end of an upstream to its restart.
	crashesBeforeDenial = 3
	maxLaterSends       = 3
	denialSpreadTime    = 3 * time.Second
	restartDelay        = 200 * time.Millisecond
	crashPath           = "/frail/deadly"
)

// crashingUpstreams are upstreams that crash when they begin to run a request for crashPath, and that the test restarts.
type crashingUpstreams struct {
	processes []*process
	start     []func() *process
	crashes   int
}

// addCrashingUpstreams starts crashing upstreams without proxies, and writes the settings of their service.
func (cluster *cluster) addCrashingUpstreams(count int) *crashingUpstreams {
	found := &crashingUpstreams{}
	text := "PathPrefix = \"/frail\"\nIdempotent = \"always\"\nTimeout = \"2s\"\n"
	for i := range count {
		name, address := fmt.Sprintf("frail-%d", i+1), fakes.FreeAddress()
		found.start = append(found.start, func() *process {
			started := startProcess(name, standinPath, "upstream", "--name", name, "--listen", address, "--slots", "8", "--ends-on", crashPath)
			awaitListening(address)
			return started
		})
		found.processes = append(found.processes, found.start[i]())
		text += fmt.Sprintf("\n[[Upstreams]]\nName = %q\nAddress = %q\nZone = \"zone-%d\"\n", name, address, i%zones)
	}
	cluster.writeSettings("shop/frail.toml", text)
	return found
}

// restartCrashed restarts the processes that have ended, after restartDelay, as a supervisor would.
func (crashingUpstreams *crashingUpstreams) restartCrashed() {
	time.Sleep(restartDelay)
	for i, process := range crashingUpstreams.processes {
		select {
		case <-process.done:
			crashingUpstreams.crashes++
			crashingUpstreams.processes[i] = crashingUpstreams.start[i]()
		default:
		}
	}
}

// newClientAt returns a client whose connections come from a loopback address and carry one request each.
func newClientAt(address string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

var _ = Describe("a request that crashes the upstreams that run it, with the log as the store", func() {
	// A caller repeats a lookup that crashes each upstream that begins to run it, through any host. Guards against hosts
	// that take each repeat for a new request and also retry it themselves, which crashes two upstreams per repeat,
	// because no host records which requests ran when a process crashed, or reports it to the others. The entry with
	// new addresses guards against a denial that depends on the caller's address.
	DescribeTable("crashes at most three more upstreams over all hosts, once it has crashed three", func(address func(number int) string) {
		cluster := newCluster(2)
		cluster.writeSettings("firm.toml", "Timeout = \"5s\"\n")
		cluster.writeSettings("shop/team.toml", "Domains = [\"shop.example\"]\nSlots = 64\nConnections = 800\n")
		upstreams := cluster.addCrashingUpstreams(3)
		cluster.publish("first")
		for _, entry := range cluster.hosts {
			Eventually(func() int { return cluster.request(entry, http.MethodGet, "/frail/x", "").status }, waitTimeout, "50ms").Should(Equal(http.StatusOK))
		}
		number := 0
		sendNext := func() {
			cluster.client = newClientAt(address(number))
			cluster.request(cluster.hosts[number%len(cluster.hosts)], http.MethodGet, crashPath, "")
			number++
			upstreams.restartCrashed()
		}
		Eventually(func() int {
			sendNext()
			return upstreams.crashes
		}, waitTimeout, "50ms").Should(BeNumerically(">=", crashesBeforeDenial))
		time.Sleep(denialSpreadTime)
		upstreams.restartCrashed()
		before := upstreams.crashes
		for range 4 * maxLaterSends {
			sendNext()
		}
		Expect(upstreams.crashes - before).To(BeNumerically("<=", maxLaterSends))
	},
		Entry("from one address", func(int) string { return "127.0.0.1" }),
		Entry("from a new address each time", func(number int) string { return fmt.Sprintf("127.0.%d.%d", 1+number/200, 1+number%200) }),
	)
})
