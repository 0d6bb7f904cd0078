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

// registerCount is the number of keys that callers use. With few keys, many writes of unknown outcome accumulate on each
// key, and the search for a linear order of the operations takes too long.
const registerCount = 64

// registerInput is an operation on one key's register.
type registerInput struct {
	write bool
	value string
	key   string
}

// registerModel is a register per key, empty at first. A read must return the value of the latest write; a read
// without output may have returned any value.
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

// recorder records the operations of all callers for the linearizability check.
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

// callRandom does one operation through a random host. It records every operation that succeeded, and every write
// that may have taken effect.
func (recorder *recorder) callRandom(cluster *cluster, caller, number int) {
	input := registerInput{write: rand.IntN(2) == 0, value: fmt.Sprintf("%d-%d", caller, number), key: fmt.Sprintf("hall-%d", rand.IntN(registerCount))}
	method, body := http.MethodGet, ""
	if input.write {
		method, body = http.MethodPut, input.value
	}
	entry := cluster.hosts[rand.IntN(len(cluster.hosts))]
	callTime := time.Since(recorder.started)
	got := cluster.request(entry, method, "/keys/"+input.key, body, "Cherrykeel-Timeout", "1500")
	operation := porcupine.Operation{ClientId: caller, Input: input, Call: int64(callTime), Return: int64(time.Since(recorder.started))}
	switch {
	case got.err == nil && got.status == http.StatusOK:
		fields := strings.SplitN(strings.TrimSuffix(got.body, "\n"), " ", 4)
		operation.Output = fields[3]
		recorder.served.Add(1)
		recorder.add(operation)
	case input.write && got.header.Get("Cherrykeel-Outcome") != "not-run":
		// The write may take effect at any later time, or never.
		operation.Return = int64(time.Hour)
		recorder.add(operation)
	}
}

// startCallers runs callers that call without a pause until stop is closed.
func (recorder *recorder) startCallers(cluster *cluster, callers int, stop chan struct{}) *sync.WaitGroup {
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			defer GinkgoRecover()
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
					recorder.callRandom(cluster, caller, number)
				}
			}
		})
	}
	return &running
}

// awaitServed waits until more than the given number of further requests have succeeded.
func (recorder *recorder) awaitServed(more int64) {
	from := recorder.served.Load()
	Eventually(recorder.served.Load, waitTimeout, "10ms").Should(BeNumerically(">", from+more))
}

// startSharedUpstreams starts upstreams in the test's own process that share the state of their keys, and returns
// them and their part of the service's settings.
func (cluster *cluster) startSharedUpstreams(count int) ([]*fakes.Upstream, string) {
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
		text += cluster.addProxy(&upstream{name: name, address: listener.Addr().String()}, i)
	}
	return servers, text
}

// publishKeyedService publishes the settings of one keyed service whose upstreams share the state of their keys.
func (cluster *cluster) publishKeyedService() []*fakes.Upstream {
	servers, text := cluster.startSharedUpstreams(4)
	cluster.writeSettings("firm.toml", "Timeout = \"5s\"\n")
	cluster.writeSettings("shop/team.toml", "Domains = [\"shop.example\"]\nSlots = 64\nConnections = 800\n")
	cluster.writeSettings("shop/keys.toml", "PathPrefix = \"/keys\"\nKeyed = true\nKeyFrom = \"path:1\"\nPartitions = 64\n"+text)
	cluster.publish("first")
	cluster.awaitOwners()
	return servers
}

var _ = Describe("ownership under failure", func() {
	It("is reported to operators: the unavailable upstream, the promotions that are not in the log, and the recovery", func() {
		cluster := newCluster(3)
		cluster.publishKeyedService()
		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{Outage: true})
		cluster.upstreams["keys-3"].proxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
		keeper := cluster.keeper("shop/keys")
		promoted := func() int {
			status, err := cluster.status(keeper)
			if err != nil || len(status.Services) != 1 || status.Services[0].Report == nil {
				return 0
			}
			return status.Services[0].Report.Promoted
		}
		Eventually(promoted, waitTimeout, "50ms").Should(BeNumerically(">", 0))
		Expect(promoted()).To(BeNumerically("<=", 17), "promoted more than what the unreachable upstream owned of 64 partitions")
		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{})
		cluster.upstreams["keys-3"].proxy.Set(fault.Rules{})
		Eventually(promoted, waitTimeout, "50ms").Should(BeZero())
		Eventually(keeper.process.output.text, waitTimeout, "100ms").Should(And(ContainSubstring("\"Event\":406"), ContainSubstring("\"Event\":407")))
	})

	// Callers read and write registers through all hosts before, during and after the fault. An owner reads a register
	// once in its term and then relies on its own copy. So a second owner at the same time, or an owner that continues
	// after the end of its lease, shows as a lost or stale value.
	DescribeTable("keeps every register linearizable and every key served",
		func(injectFault func(cluster *cluster, servers []*fakes.Upstream) (clearFault func())) {
			cluster := newCluster(5)
			servers := cluster.publishKeyedService()
			// Callers give up on a host that does not answer and use another one, as behind a load balancer.
			cluster.client.Timeout = 2 * time.Second
			recorder := &recorder{started: time.Now()}
			stop := make(chan struct{})
			running := recorder.startCallers(cluster, 8, stop)
			recorder.awaitServed(200)
			clearFault := injectFault(cluster, servers)
			recorder.awaitServed(300)
			clearFault()
			recorder.awaitServed(300)
			close(stop)
			running.Wait()
			result := porcupine.CheckOperationsTimeout(registerModel, recorder.history, waitTimeout)
			Expect(result).To(Equal(porcupine.Ok))
		},
		Entry("the keeper is killed", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.keeper("shop/keys").process.kill()
			return func() {}
		}),
		Entry("the keeper is suspended for longer than every lease, and resumes", func(cluster *cluster, _ []*fakes.Upstream) func() {
			keeper := cluster.keeper("shop/keys")
			keeper.process.signal(syscall.SIGSTOP)
			return func() { keeper.process.signal(syscall.SIGCONT) }
		}),
		Entry("an upstream is frozen for longer than every lease, and resumes as an owner", func(_ *cluster, servers []*fakes.Upstream) func() {
			servers[0].SetFaults(fakes.UpstreamFaults{Freeze: 4 * time.Second, Load: -1})
			return func() { servers[0].SetFaults(fakes.UpstreamFaults{Load: -1}) }
		}),
		Entry("an upstream's connections stall in both directions", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.upstreams["keys-1"].proxy.Set(fault.Rules{StallUp: true, StallDown: true})
			return func() { cluster.upstreams["keys-1"].proxy.Set(fault.Rules{}) }
		}),
		Entry("an upstream's connections stall only in the direction of its responses", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.upstreams["keys-2"].proxy.Set(fault.Rules{StallDown: true})
			return func() { cluster.upstreams["keys-2"].proxy.Set(fault.Rules{}) }
		}),
		Entry("the log is unavailable while an upstream is unreachable: its successors are promoted", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{Outage: true})
			cluster.upstreams["keys-3"].proxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
			return func() {
				cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{})
				cluster.upstreams["keys-3"].proxy.Set(fault.Rules{})
			}
		}),
		Entry("the keeper is killed and an upstream becomes unreachable at the same time", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.keeper("shop/keys").process.kill()
			cluster.upstreams["keys-4"].proxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
			return func() {}
		}),
		Entry("the log is unreachable for the keeper alone, and no other host claims the service", func(cluster *cluster, _ []*fakes.Upstream) func() {
			keeper := cluster.keeper("shop/keys")
			keeper.logProxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
			return func() { keeper.logProxy.Set(fault.Rules{}) }
		}),
		Entry("the log stores every append and loses every reply, while an upstream is unreachable", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{LoseReplies: 10_000})
			cluster.upstreams["keys-1"].proxy.Set(fault.Rules{Refuse: true, StallUp: true, StallDown: true})
			return func() {
				cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{})
				cluster.upstreams["keys-1"].proxy.Set(fault.Rules{})
			}
		}),
		Entry("the log loses every reply while the keeper is killed", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{LoseReplies: 10_000})
			cluster.keeper("shop/keys").process.kill()
			return func() { cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{}) }
		}),
		Entry("the log is unavailable during the keeper's graceful shutdown: the keeper stays until it can hand over", func(cluster *cluster, _ []*fakes.Upstream) func() {
			keeper := cluster.keeper("shop/keys")
			cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{Outage: true})
			keeper.process.signal(syscall.SIGTERM)
			return func() { cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{}) }
		}),
		Entry("the log becomes unavailable during a takeover, and recovers", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.keeper("shop/keys").process.kill()
			cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{Outage: true})
			time.Sleep(2 * time.Second)
			cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{})
			return func() {}
		}),
		Entry("the keeper shuts down gracefully", func(cluster *cluster, _ []*fakes.Upstream) func() {
			cluster.keeper("shop/keys").process.signal(syscall.SIGTERM)
			return func() {}
		}),
	)
})
