package keeper_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/fold"
	"cherrykeel/keeper"
	"cherrykeel/lease"
	"cherrykeel/place"
)

const (
	self         = "host"
	service      = "test/keys"
	partitions   = 16
	length       = 900 * time.Millisecond
	tickInterval = 20 * time.Millisecond
	settleTime   = 3 * time.Second
)

func TestKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keeper")
}

// cluster is a keeper that is its own witness, with upstreams by address; all clocks agree.
type cluster struct {
	keeper    *keeper.Keeper
	service   cherrykeel.Service
	ownership fold.ServiceOwnership
	processes map[string]*fakes.Ownership
	now       time.Duration
}

func newCluster(addresses map[string]string) *cluster {
	witness := lease.NewWitness(0)
	cluster := &cluster{
		keeper:    keeper.New(self, service, witness, place.New()),
		service:   cherrykeel.Service{Path: service, Keyed: true, Partitions: partitions, ChecksFences: true, LeaseLength: length},
		ownership: fold.ServiceOwnership{Term: 1, Keeper: self, LeaseLength: length, Witnesses: []string{self}},
		processes: map[string]*fakes.Ownership{},
		now:       time.Hour,
	}
	for name, address := range addresses {
		cluster.service.Upstreams = append(cluster.service.Upstreams, cherrykeel.UpstreamServer{Name: name, Address: address})
		cluster.start(address)
	}
	return cluster
}

// start starts a new process at an address.
func (cluster *cluster) start(address string) {
	cluster.processes[address] = fakes.NewOwnership("boot "+address, service)
}

// changeAddress changes the address of an upstream in the settings.
func (cluster *cluster) changeAddress(name, address string) {
	upstreams := append([]cherrykeel.UpstreamServer(nil), cluster.service.Upstreams...)
	for i := range upstreams {
		if upstreams[i].Name == name {
			upstreams[i].Address = address
		}
	}
	cluster.service.Upstreams = upstreams
}

func (cluster *cluster) tick() {
	cluster.now += tickInterval
	now := cherrykeel.Instant(cluster.now)
	service := cluster.service
	actions := cluster.keeper.Tick(keeper.Input{
		Now: now, Ownership: cluster.ownership, Service: &service, Hosts: []keeper.Host{{Name: self}}, ClaimedTerm: cluster.ownership.Term,
	})
	for range actions.RequestConfirmation {
		cluster.keeper.RecordConfirmation(self, cluster.ownership.Term, now)
	}
	for _, order := range actions.Orders {
		cluster.deliver(order)
	}
	if actions.Assign != nil {
		cluster.ownership.Placement = fold.ApplyAssign(cluster.ownership.Placement, *actions.Assign)
		cluster.ownership.Sequence++
	}
}

func (cluster *cluster) deliver(order lease.Order) {
	for _, upstream := range cluster.service.Upstreams {
		if upstream.Name != order.Lessee {
			continue
		}
		process := cluster.processes[upstream.Address]
		holding := process.Holding(cluster.now)
		if !order.Query {
			holding = process.Grant(order.Grant, cluster.now)
		}
		cluster.keeper.RecordAnswer(order, holding, cherrykeel.Instant(cluster.now))
	}
}

// owners returns the addresses of the processes that may serve a partition.
func (cluster *cluster) owners(partition int) []string {
	var addresses []string
	for address, process := range cluster.processes {
		if process.Owns(cluster.now, partition, "") {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

var _ = Describe("an upstream whose address in the settings changes", func() {
	// Guards against two owners of a key: an operator changes the address of an upstream. The process there answers
	// that it has just started, while the one at the old address still holds its lease and serves hosts that have not
	// read the change. If that answer counted as a restart, it would prove that the old process has ended.
	It("owns keys at its new address only after its lease at the old one has ended", func() {
		cluster := newCluster(map[string]string{"a": "old", "b": "other"})
		for start := cluster.now; cluster.now < start+settleTime; {
			cluster.tick()
		}
		cluster.start("new")
		cluster.changeAddress("a", "new")
		for start := cluster.now; cluster.now < start+settleTime; {
			cluster.tick()
			for partition := range partitions {
				Expect(len(cluster.owners(partition))).To(BeNumerically("<=", 1), "partition %d: %v", partition, cluster.owners(partition))
			}
		}
		for partition := range partitions {
			Expect(cluster.owners(partition)).To(HaveLen(1))
			Expect(cluster.owners(partition)).NotTo(ContainElement("old"))
		}
	})
})
