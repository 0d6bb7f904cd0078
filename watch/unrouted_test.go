package watch_test

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/watch"
)

var _ = Describe("an entry of another writer", func() {
	const address = "10.0.0.1:1"
	var (
		view      *watch.Upstreams
		services  map[string]cherrykeel.RoutedService
		announced []cherrykeel.KeyedRecord
	)

	entryOf := func(id, service, address string, born, offset int64) cherrykeel.KeyedRecord {
		value, err := json.Marshal(cherrykeel.Upstream{Service: service, Address: address, StartedAt: born})
		Expect(err).NotTo(HaveOccurred())
		return cherrykeel.KeyedRecord{Key: id, Value: value, Offset: offset}
	}
	apply := func(records ...cherrykeel.KeyedRecord) {
		view.Apply(watch.Update{Records: records})
	}
	setServices := func(names ...string) {
		services = map[string]cherrykeel.RoutedService{}
		for _, name := range names {
			services[name] = cherrykeel.RoutedService{Name: name}
		}
		view.ApplySettings()
	}
	names := func() []string {
		var names []string
		for _, upstream := range view.Current() {
			names = append(names, upstream.ID)
		}
		return names
	}

	newView := func() {
		decode := func(id string, value []byte) (cherrykeel.Upstream, error) {
			var upstream cherrykeel.Upstream
			err := json.Unmarshal(value, &upstream)
			upstream.ID = id
			return upstream, err
		}
		announced = nil
		services = nil
		view = watch.NewUpstreams(decode, cherrykeel.SystemClock(), zap.NewNop(), func() {}, func(records []cherrykeel.KeyedRecord, _ int64) {
			announced = append(announced, records...)
		})
		view.SetTopicAvailability(func() time.Duration { return time.Hour })
		view.SetServices(func() (map[string]cherrykeel.RoutedService, bool) { return services, services != nil })
		setServices("halls")
		apply(entryOf("a", "halls", address, 100, 1))
	}

	BeforeEach(newView)

	// Guards against keys with two owners: an entry with the address of a running upstream would end its leases.
	It("neither ends the upstream with its address nor becomes one, if the settings lack its service", func() {
		apply(entryOf("agent", "audit", address, 200, 2))
		Expect(names()).To(Equal([]string{"a"}))
		Expect(view.HasEnded("a", address)).To(BeFalse())
		Expect(view.HasOther("a", address)).To(BeTrue(), "who answers there may be asked")
		apply(cherrykeel.KeyedRecord{Key: "agent", Offset: 3})
		Expect(view.HasOther("a", address)).To(BeFalse())
	})

	// Guards against the loss of a running upstream: an entry under its ID, for a service that the settings lack, would
	// take it out of its own service until its next heartbeat, or for ever if it names a later start.
	It("does not change an upstream whose ID it bears, if the settings lack its service", func() {
		apply(entryOf("a", "audit", "10.0.0.9:1", 900, 2))
		Expect(view.Current()).To(Equal([]cherrykeel.Upstream{{ID: "a", Service: "halls", Address: address, StartedAt: 100}}))
		apply(entryOf("a", "halls", address, 100, 3))
		Expect(names()).To(Equal([]string{"a"}))
		view.Apply(watch.Update{Snapshot: true, Records: []cherrykeel.KeyedRecord{entryOf("a", "audit", address, 900, 4)}})
		Expect(names()).To(Equal([]string{"a"}))
	})

	// Guards against upstreams of a new service that get nothing: their entries may be read before the settings.
	It("is used once the settings have its service, and announced as it is read", func() {
		apply(entryOf("b", "deposits", "10.0.0.2:1", 1, 2))
		Expect(names()).To(Equal([]string{"a"}))
		Expect(announced).To(HaveLen(2))
		setServices("halls", "deposits")
		Expect(names()).To(Equal([]string{"a", "b"}))
		Expect(announced).To(HaveLen(2))
		Expect(view.Offset()).To(Equal(int64(2)))
	})

	// Guards against a service that comes back without its upstreams, which hold keys meanwhile.
	It("is one of a known upstream if the settings have lost its service", func() {
		setServices("deposits")
		apply(entryOf("a", "halls", address, 100, 2))
		Expect(names()).To(Equal([]string{"a"}))
		apply(entryOf("a", "halls", address, 200, 3))
		Expect(view.Current()[0].StartedAt).To(Equal(int64(200)))
	})

	// Guards against the end of a process by an answer that was meant for another one: an earlier incarnation, or an
	// address that another writer's entry has named for the upstream.
	It("ends the upstream only where another one has answered", func() {
		view.MarkEnded(cherrykeel.Upstream{ID: "a", Address: address, StartedAt: 50})
		view.MarkEnded(cherrykeel.Upstream{ID: "a", Address: "10.0.0.9:1", StartedAt: 100})
		Expect(names()).To(Equal([]string{"a"}))
		apply(entryOf("a", "halls", "10.0.0.9:1", 900, 2))
		view.MarkEnded(cherrykeel.Upstream{ID: "a", Address: "10.0.0.9:1", StartedAt: 900})
		Expect(names()).To(BeEmpty())
		Expect(view.HasEnded("a", address)).To(BeFalse(), "what it was granted at its own address is not ended")
		apply(entryOf("a", "halls", address, 100, 3))
		Expect(view.Current()).To(Equal([]cherrykeel.Upstream{{ID: "a", Service: "halls", Address: address, StartedAt: 100}}))
	})

	// Guards against an order of records, settings, snapshots and announcements in which a stray entry ends an upstream or
	// takes it out of its service.
	It("harms no upstream in any order", func() {
		for seed := range uint64(500) {
			newView()
			random := rand.New(rand.NewPCG(seed, seed))
			var strays, own []cherrykeel.KeyedRecord
			for offset := int64(2); offset < 12; offset++ {
				if random.IntN(2) == 0 {
					own = append(own, entryOf("a", "halls", address, 100, offset))
					continue
				}
				id := []string{"agent", "a"}[random.IntN(2)]
				strays = append(strays, entryOf(id, "audit", []string{address, "10.0.0.9:1"}[random.IntN(2)], random.Int64N(200), offset))
			}
			strays = append(strays, cherrykeel.KeyedRecord{Key: "agent", Offset: 12})
			view.Apply(watch.Update{Snapshot: true, Records: []cherrykeel.KeyedRecord{entryOf("a", "halls", address, 100, 1)}})
			mixed := append(append([]cherrykeel.KeyedRecord{}, own...), strays...)
			random.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
			for _, record := range mixed {
				switch random.IntN(4) {
				case 0:
					setServices("halls", "deposits")
				case 1:
					setServices("deposits")
				}
				view.Apply(watch.Update{FromPeer: random.IntN(2) == 0, Records: []cherrykeel.KeyedRecord{record}})
				Expect(view.HasEnded("a", address)).To(BeFalse(), "seed %d", seed)
				Expect(names()).To(Equal([]string{"a"}), "seed %d", seed)
				Expect(view.Current()[0].Address).To(Equal(address), "seed %d", seed)
			}
		}
	})
})
