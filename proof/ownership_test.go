package proof_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/fakes"
	"cherrykeel/fault"
)

// registers is how many keys callers use; with few, writes whose outcome is unknown pile up on
// each, and the search for a linear order takes longer than anybody waits.
const registers = 64

// registerInput is an operation on one key's register.
type registerInput struct {
	write bool
	value string
	key   string
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(registerInput).key
			keys[key] = append(keys[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range keys {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		operation := input.(registerInput)
		if operation.write {
			return true, operation.value
		}
		return output == nil || output.(string) == state.(string), state
	},
}

// recorder keeps the history of all callers.
type recorder struct {
	mutex   sync.Mutex
	history []porcupine.Operation
	served  atomic.Int64
	started time.Time
}

func (recorder *recorder) add(operation porcupine.Operation) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.history = append(recorder.history, operation)
}

// call does one operation through a random host and records what may have happened.
func (recorder *recorder) call(cluster *cluster, caller, number int) {
	input := registerInput{write: rand.IntN(2) == 0, value: fmt.Sprintf("%d-%d", caller, number), key: fmt.Sprintf("hall-%d", rand.IntN(registers))}
	method, body := http.MethodGet, ""
	if input.write {
		method, body = http.MethodPut, input.value
	}
	entry := cluster.hosts[rand.IntN(len(cluster.hosts))]
	begun := time.Since(recorder.started)
	got := cluster.ask(entry, method, "/keys/"+input.key, body, "Cherrykeel-Timeout", "1500")
	operation := porcupine.Operation{ClientId: caller, Input: input, Call: int64(begun), Return: int64(time.Since(recorder.started))}
	switch {
	case got.err == nil && got.status == http.StatusOK:
		fields := strings.SplitN(strings.TrimSuffix(got.body, "\n"), " ", 4)
		operation.Output = fields[3]
		recorder.served.Add(1)
		recorder.add(operation)
	case input.write && got.header.Get("Cherrykeel-Outcome") != "not-run":
		// It may take effect at any time from now on, or never.
		operation.Return = int64(time.Hour)
		recorder.add(operation)
	}
}

func (recorder *recorder) run(cluster *cluster, callers int, stop chan struct{}) *sync.WaitGroup {
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			defer GinkgoRecover()
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
					recorder.call(cluster, caller, number)
				}
			}
		})
	}
	return &running
}

// awaitServed waits until more requests have been answered.
func (recorder *recorder) awaitServed(more int64) {
	from := recorder.served.Load()
	Eventually(recorder.served.Load, patience, "10ms").Should(BeNumerically(">", from+more))
}

// sharedUpstreams starts upstreams in this process that share the state of their keys.
func (cluster *cluster) sharedUpstreams(count int) ([]*fakes.Upstream, string) {
	registers := fakes.NewRegisters()
	var servers []*fakes.Upstream
	text := ""
	for i := range count {
		name := fmt.Sprintf("keys-%d", i+1)
		server := fakes.NewUpstream(fakes.UpstreamOptions{Name: name, Slots: 64, QueueLength: 512, Work: time.Millisecond, Registers: registers, EnforceFences: true})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		running := &http.Server{Handler: server}
		go func() { _ = running.Serve(listener) }()
		DeferCleanup(running.Close)
		servers = append(servers, server)
		text += cluster.front(&upstream{name: name, address: listener.Addr().String()}, i)
	}
	return servers, text
}

// keyed publishes one keyed service whose upstreams share the state of their keys.
func (cluster *cluster) keyed() []*fakes.Upstream {
	servers, text := cluster.sharedUpstreams(4)
	cluster.write("firm.toml", "Timeout = \"5s\"\n")
	cluster.write("shop/team.toml", "Domains = [\"shop.example\"]\nSlots = 64\nConnections = 800\n")
	cluster.write("shop/keys.toml", "PathPrefix = \"/keys\"\nKeyed = true\nKeyFrom = \"path:1\"\nPartitions = 64\n"+text)
	cluster.publish("first")
	cluster.awaitOwners()
	return servers
}

var _ = Describe("ownership under failure", func() {
	// Callers read and write registers through all hosts while the fault lasts and after it.
	// An owner reads a register once in its term and then trusts its own copy, so a second
	// owner, or one that wakes after its lease, shows as a lost or stale value.
	It("is shown to operators: who is lost, how much was promoted without the log, and that it is back", func() {
		cluster := newCluster(3)
		cluster.keyed()
		cluster.order(cluster.log+"/faults", fakes.LogFaults{Outage: true})
		cluster.upstreams["keys-3"].proxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
		keeper := cluster.keeper("shop/keys")
		promoted := func() int {
			status, err := cluster.status(keeper)
			if err != nil || len(status.Services) != 1 || status.Services[0].Report == nil {
				return 0
			}
			return status.Services[0].Report.Promoted
		}
		Eventually(promoted, patience, "50ms").Should(BeNumerically(">", 0))
		Expect(promoted()).To(BeNumerically("<=", 17), "only what the lost upstream owned of 64 partitions")
		cluster.order(cluster.log+"/faults", fakes.LogFaults{})
		cluster.upstreams["keys-3"].proxy.Set(fault.Rules{})
		Eventually(promoted, patience, "50ms").Should(BeZero())
		Eventually(keeper.process.output.text, patience, "100ms").Should(And(ContainSubstring("\"Event\":406"), ContainSubstring("\"Event\":407")))
	})

	DescribeTable("keeps every register linearizable and every key served",
		func(strike func(cluster *cluster, servers []*fakes.Upstream) (heal func())) {
			cluster := newCluster(5)
			servers := cluster.keyed()
			// Callers leave a host that does not answer, as a balancer would make them.
			cluster.client.Timeout = 2 * time.Second
			recorder := &recorder{started: time.Now()}
			stop := make(chan struct{})
			running := recorder.run(cluster, 8, stop)
			recorder.awaitServed(200)
			heal := strike(cluster, servers)
			recorder.awaitServed(300)
			heal()
			recorder.awaitServed(300)
			close(stop)
			running.Wait()
			result := porcupine.CheckOperationsTimeout(registerModel, recorder.history, patience)
			Expect(result).To(Equal(porcupine.Ok))
		},
		Entry("the keeper is killed", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.keeper("shop/keys").process.kill()
			return func() {}
		}),
		Entry("the keeper is paused for longer than every lease, and wakes", func(cluster *cluster, _ []*fakes.Upstream) func() {
			keeper := cluster.keeper("shop/keys")
			keeper.process.signal(syscall.SIGSTOP)
			return func() { keeper.process.signal(syscall.SIGCONT) }
		}),
		Entry("an upstream is frozen for longer than every lease, and wakes as owner", func(_ *cluster, servers []*fakes.Upstream) func() {
			servers[0].SetFaults(fakes.UpstreamFaults{Freeze: 4 * time.Second, Load: -1})
			return func() { servers[0].SetFaults(fakes.UpstreamFaults{Load: -1}) }
		}),
		Entry("an upstream is cut off", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.upstreams["keys-1"].proxy.Set(fault.Rules{StallUp: true, StallDown: true})
			return func() { cluster.upstreams["keys-1"].proxy.Set(fault.Rules{}) }
		}),
		Entry("an upstream's answers are lost, one way", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.upstreams["keys-2"].proxy.Set(fault.Rules{StallDown: true})
			return func() { cluster.upstreams["keys-2"].proxy.Set(fault.Rules{}) }
		}),
		Entry("the log is out while an upstream is lost: its successors are promoted", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.order(cluster.log+"/faults", fakes.LogFaults{Outage: true})
			cluster.upstreams["keys-3"].proxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
			return func() {
				cluster.order(cluster.log+"/faults", fakes.LogFaults{})
				cluster.upstreams["keys-3"].proxy.Set(fault.Rules{})
			}
		}),
		Entry("the keeper and an upstream are lost together", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.keeper("shop/keys").process.kill()
			cluster.upstreams["keys-4"].proxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
			return func() {}
		}),
		Entry("the keeper alone is cut off from the log while another host claims nothing", func(cluster *cluster, _ []*fakes.Upstream) func() {
			keeper := cluster.keeper("shop/keys")
			keeper.logProxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
			return func() { keeper.logProxy.Set(fault.Rules{}) }
		}),
		Entry("the log takes every append and loses every reply, while an upstream is lost", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.order(cluster.log+"/faults", fakes.LogFaults{LoseReplies: 10_000})
			cluster.upstreams["keys-1"].proxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
			return func() {
				cluster.order(cluster.log+"/faults", fakes.LogFaults{})
				cluster.upstreams["keys-1"].proxy.Set(fault.Rules{})
			}
		}),
		Entry("the log loses its replies while the keeper is killed", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.order(cluster.log+"/faults", fakes.LogFaults{LoseReplies: 10_000})
			cluster.keeper("shop/keys").process.kill()
			return func() { cluster.order(cluster.log+"/faults", fakes.LogFaults{}) }
		}),
		Entry("the log is out while the keeper is told to stop: it stays until it can hand over", func(cluster *cluster, _ []*fakes.Upstream) func() {
			keeper := cluster.keeper("shop/keys")
			cluster.order(cluster.log+"/faults", fakes.LogFaults{Outage: true})
			keeper.process.signal(syscall.SIGTERM)
			return func() { cluster.order(cluster.log+"/faults", fakes.LogFaults{}) }
		}),
		Entry("the log goes out in the middle of a takeover and comes back", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.keeper("shop/keys").process.kill()
			cluster.order(cluster.log+"/faults", fakes.LogFaults{Outage: true})
			time.Sleep(2 * time.Second)
			cluster.order(cluster.log+"/faults", fakes.LogFaults{})
			return func() {}
		}),
		Entry("the keeper is stopped as planned", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.keeper("shop/keys").process.signal(syscall.SIGTERM)
			return func() {}
		}),
	)
})
