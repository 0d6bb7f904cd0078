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
	// deadlyEnds is how many upstreams a request may end before hosts know it, moreSends how often it may be sent on
	// after that, over all hosts together, and settled when all of them know it.
	deadlyEnds = 3
	moreSends  = 3
	settled    = 3 * time.Second
	backAfter  = 200 * time.Millisecond
	deadlyPath = "/frail/deadly"
)

// frail are upstreams that end when they run a request for deadlyPath, and are started again.
type frail struct {
	processes []*process
	start     []func() *process
	ends      int
}

func (cluster *cluster) addFrail(count int) *frail {
	found := &frail{}
	text := "PathPrefix = \"/frail\"\nIdempotent = \"always\"\nTimeout = \"2s\"\n"
	for i := range count {
		name, address := fmt.Sprintf("frail-%d", i+1), fakes.FreeAddress()
		found.start = append(found.start, func() *process {
			started := start(name, standinPath, "upstream", "--name", name, "--listen", address, "--slots", "8", "--ends-on", deadlyPath)
			awaitListening(address)
			return started
		})
		found.processes = append(found.processes, found.start[i]())
		text += fmt.Sprintf("\n[[Upstreams]]\nName = %q\nAddress = %q\nZone = \"zone-%d\"\n", name, address, i%zones)
	}
	cluster.write("shop/frail.toml", text)
	return found
}

// revive starts the processes again that have ended, after a moment as a supervisor would.
func (frail *frail) revive() {
	time.Sleep(backAfter)
	for i, process := range frail.processes {
		select {
		case <-process.done:
			frail.ends++
			frail.processes[i] = frail.start[i]()
		default:
		}
	}
}

// clientAt is a client whose connections come from a loopback address, each for one request.
func clientAt(address string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

var _ = Describe("a request that ends the upstreams that run it, on a plain log", func() {
	// A caller's lookup ends each upstream that begins to run it, and comes again at any host as soon as the upstream is
	// back. Hosts took each for a new one, and sent it once more themselves: two upstreams ended for each time it came.
	// The cause is the same as on the platform: no host kept what was at work when a process had ended, or told another.
	// From new addresses it guards against an address that stands for a caller.
	DescribeTable("is sent on three times more at the most, over all hosts", func(address func(number int) string) {
		cluster := newCluster(2)
		cluster.write("firm.toml", "Timeout = \"5s\"\n")
		cluster.write("shop/team.toml", "Domains = [\"shop.example\"]\nSlots = 64\nConnections = 800\n")
		frail := cluster.addFrail(3)
		cluster.publish("first")
		for _, entry := range cluster.hosts {
			Eventually(func() int { return cluster.ask(entry, http.MethodGet, "/frail/x", "").status }, patience, "50ms").Should(Equal(http.StatusOK))
		}
		number := 0
		again := func() {
			cluster.client = clientAt(address(number))
			cluster.ask(cluster.hosts[number%len(cluster.hosts)], http.MethodGet, deadlyPath, "")
			number++
			frail.revive()
		}
		Eventually(func() int {
			again()
			return frail.ends
		}, patience, "50ms").Should(BeNumerically(">=", deadlyEnds))
		time.Sleep(settled)
		frail.revive()
		before := frail.ends
		for range 4 * moreSends {
			again()
		}
		Expect(frail.ends - before).To(BeNumerically("<=", moreSends))
	},
		Entry("from one address", func(int) string { return "127.0.0.1" }),
		Entry("from a new address each time", func(number int) string { return fmt.Sprintf("127.0.%d.%d", 1+number/200, 1+number%200) }),
	)
})
