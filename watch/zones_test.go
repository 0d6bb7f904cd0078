package watch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/watch"
)

var _ = Describe("the evacuated availability zones", func() {
	var (
		view      *watch.Zones
		clock     *fakes.Clock
		announced []cherrykeel.KeyedRecord
		calls     int
	)

	BeforeEach(func() {
		announced, calls = nil, 0
		clock = fakes.NewClock(100)
		view = watch.NewZones("evacuate/", clock, zap.NewNop(), func() { calls++ }, func(record cherrykeel.KeyedRecord) { announced = append(announced, record) })
	})

	evacuated := func(zone string) bool {
		_, evacuated := view.Evacuated()[zone]
		return evacuated
	}
	read := func(records ...cherrykeel.KeyedRecord) { view.Apply(watch.Update{Records: records}) }
	receive := func(records ...cherrykeel.KeyedRecord) {
		view.Apply(watch.Update{Records: records, FromPeer: true})
	}
	whole := func(next int64, records ...cherrykeel.KeyedRecord) {
		view.Apply(watch.Update{Records: records, Snapshot: true, Next: next})
	}

	It("count as read only once this host has read the topic itself", func() {
		receive(record("evacuate/a", "{}", 3))
		Expect(evacuated("a")).To(BeTrue())
		Expect(view.HasRead()).To(BeFalse())
		whole(4, record("config", "x", 1), record("evacuate/a", "{}", 3))
		Expect(view.HasRead()).To(BeTrue())
		Expect(calls).To(Equal(2))
	})

	It("are evacuated independently of each other, also two at once", func() {
		whole(1)
		read(record("evacuate/a", "{}", 3), record("config", "x", 4), record("evacuate/b", "{}", 5))
		read(record("evacuate/a", "", 6))
		Expect(evacuated("a")).To(BeFalse())
		Expect(evacuated("b")).To(BeTrue())
		Expect(view.Offset()).To(Equal(int64(6)))
		Expect(announced).To(HaveLen(3))
	})

	// Guards against a datagram that arrives late and evacuates a zone again whose evacuation has ended, also at a host
	// that has missed the evacuation.
	It("stay in service when an older order arrives late", func() {
		whole(1)
		receive(record("evacuate/a", "", 6))
		receive(record("evacuate/a", "{}", 5))
		Expect(evacuated("a")).To(BeFalse())
		state, _ := view.State("a")
		Expect(state.Offset).To(Equal(int64(6)))
	})

	// Guards against a zone that stays evacuated for ever because the record that ended its evacuation is no longer
	// kept.
	It("are back in service if a snapshot lacks them", func() {
		whole(1)
		read(record("evacuate/a", "{}", 3))
		clock.Advance(100)
		whole(9, record("config", "x", 8))
		Expect(evacuated("a")).To(BeFalse())
		state, _ := view.State("a")
		Expect(state).To(Equal(watch.ZoneState{Offset: 8, Since: 200}))
		Expect(announced[len(announced)-1]).To(Equal(cherrykeel.KeyedRecord{Key: "evacuate/a", Offset: 8}))
	})

	It("keep the time of the first order when it is repeated", func() {
		whole(1)
		read(record("evacuate/a", "{}", 3))
		clock.Advance(100)
		read(record("evacuate/a", "{}", 4))
		state, _ := view.State("a")
		Expect(state).To(Equal(watch.ZoneState{Evacuated: true, Offset: 4, Since: 100}))
	})

	It("are marked if the order was found at the start", func() {
		whole(4, record("evacuate/a", "{}", 3))
		state, _ := view.State("a")
		Expect(state.FoundAtStart).To(BeTrue())
	})
})
