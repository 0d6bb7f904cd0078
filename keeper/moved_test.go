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
	self       = "host"
	service    = "test/keys"
	partitions = 16
	length     = 900 * time.Millisecond
	pause      = 20 * time.Millisecond
	settled    = 3 * time.Second
)

func TestKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keeper")
}

// world is one keeper that is its own witness, with upstreams by address; all clocks agree.
type world struct {
	keeper    *keeper.Keeper
	service   cherrykeel.Service
	block     fold.Block
	processes map[string]*fakes.Ownership
	now       time.Duration
}

func newWorld(addresses map[string]string) *world {
	witness := lease.NewWitness(0)
	world := &world{
		keeper:    keeper.New(self, service, witness, place.New()),
		service:   cherrykeel.Service{Path: service, Keyed: true, Partitions: partitions, ChecksFences: true, LeaseLength: length},
		block:     fold.Block{Term: 1, Keeper: self, LeaseLength: length, Witnesses: []string{self}},
		processes: map[string]*fakes.Ownership{},
		now:       time.Hour,
	}
	for name, address := range addresses {
		world.service.Upstreams = append(world.service.Upstreams, cherrykeel.UpstreamServer{Name: name, Address: address})
		world.start(address)
	}
	return world
}

// start runs a new process at an address.
func (world *world) start(address string) {
	world.processes[address] = fakes.NewOwnership("boot "+address, service)
}

// move changes the address of an upstream in the settings.
func (world *world) move(name, address string) {
	upstreams := append([]cherrykeel.UpstreamServer(nil), world.service.Upstreams...)
	for i := range upstreams {
		if upstreams[i].Name == name {
			upstreams[i].Address = address
		}
	}
	world.service.Upstreams = upstreams
}

func (world *world) tick() {
	world.now += pause
	now := cherrykeel.Instant(world.now)
	service := world.service
	actions := world.keeper.Tick(keeper.Input{
		Now: now, Block: world.block, Service: &service, Hosts: []keeper.Host{{Name: self}}, ClaimedTerm: world.block.Term,
	})
	for range actions.RequestConfirmation {
		world.keeper.RecordConfirmation(self, world.block.Term, now)
	}
	for _, order := range actions.Orders {
		world.deliver(order)
	}
	if actions.Assign != nil {
		world.block.Placement = fold.Place(world.block.Placement, *actions.Assign)
		world.block.Sequence++
	}
}

func (world *world) deliver(order lease.Order) {
	for _, upstream := range world.service.Upstreams {
		if upstream.Name != order.Lessee {
			continue
		}
		process := world.processes[upstream.Address]
		holding := process.Holding(world.now)
		if !order.Query {
			holding = process.Grant(order.Grant, world.now)
		}
		world.keeper.RecordAnswer(order, holding, cherrykeel.Instant(world.now))
	}
}

// owners returns the addresses of the processes that may act for a partition.
func (world *world) owners(partition int) []string {
	var addresses []string
	for address, process := range world.processes {
		if process.Owns(world.now, partition, "") {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

var _ = Describe("an upstream whose address in the settings changes", func() {
	// The caller's key is written by two processes. An operator gives an upstream another address. The process
	// there answers that it has just started, while the one at the old address holds its lease and serves hosts
	// that have not read the change. If that answer passed for a restart, it would prove the old process gone.
	It("is owner at its new address only when its lease at the old one has ended", func() {
		world := newWorld(map[string]string{"a": "old", "b": "other"})
		for start := world.now; world.now < start+settled; {
			world.tick()
		}
		world.start("new")
		world.move("a", "new")
		for start := world.now; world.now < start+settled; {
			world.tick()
			for partition := range partitions {
				Expect(len(world.owners(partition))).To(BeNumerically("<=", 1), "partition %d: %v", partition, world.owners(partition))
			}
		}
		for partition := range partitions {
			Expect(world.owners(partition)).To(HaveLen(1))
			Expect(world.owners(partition)).NotTo(ContainElement("old"))
		}
	})
})
