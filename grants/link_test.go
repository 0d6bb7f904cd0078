package grants

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/fakes"
	"cherrykeel/spans"
)

// lostLinkEnvironment is that of a host that lost its link to every upstream a while ago.
type lostLinkEnvironment struct {
	smallEnvironment
	lostFor   time.Duration
	uncertain bool
}

func (environment lostLinkEnvironment) LinkLostFor(string) time.Duration { return environment.lostFor }

func (environment lostLinkEnvironment) IsLinkUncertain(string) bool { return environment.uncertain }

// silentGranter is an upstream that answers nothing.
type silentGranter struct{ fencedGranter }

func (granter *silentGranter) Grant(context.Context, cherrykeel.Upstream, cherrykeel.SpanGrant) error {
	return errors.WithStack(cherrykeel.ErrNoAnswer)
}

var _ = Describe("grants that are not answered", func() {
	// Guards against keys taken from owners that serve all other hosts: the keeper's own link was lost under two renewals,
	// and the owner got no further one for five seconds.
	DescribeTable("count against their upstream", func(lostFor, took time.Duration, uncertain bool, expected int) {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		keeper := newSteppedKeeper("host-1", clock, &unansweredLog{values: make(chan []byte, 1)}, lostLinkEnvironment{lostFor: lostFor, uncertain: uncertain}, &silentGranter{})
		key := spans.GrantedSpan{Service: "halls", Owner: "u1", Span: cherrykeel.KeySpan{First: 0, Last: cherrykeel.MaxKey}, Fence: 4}
		state := &grantState{upstream: cherrykeel.Upstream{ID: "u1", Address: "u1"}}
		result := grantResult{err: errors.WithStack(cherrykeel.ErrNoAnswer), took: took}
		for range 2 {
			keeper.handleGrantResult(key, state, cherrykeel.SpanGrant{}, result, clock.Now())
		}
		Expect(keeper.contact("u1").misses).To(Equal(expected))
	},
		Entry("while the link works", time.Duration(0), time.Second, false, 2),
		Entry("not if the link was lost under them", 300*time.Millisecond, 500*time.Millisecond, false, 0),
		Entry("not while no host could tell about the upstream", time.Duration(0), 500*time.Millisecond, true, 0),
		Entry("if the link was lost before, so that they went through another host", 3*time.Second, 500*time.Millisecond, false, 2),
	)
})

// Guards against a keeper of which no line tells that it grants nothing, and why it goes on as keeper.
var _ = Describe("a keeper that reaches no owner", func() {
	It("says so once, and again when one has accepted a grant", func() {
		core, lines := observer.New(zapcore.InfoLevel)
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		keeper := newSteppedKeeper("host-1", clock, &unansweredLog{values: make(chan []byte, 1)}, lostLinkEnvironment{uncertain: true}, &silentGranter{})
		keeper.logger = zap.New(core)
		table := spans.Table{Services: map[string][]spans.Owned{"halls": {{Owner: "u1", Last: cherrykeel.MaxKey}}}}
		keeper.acceptedAt = clock.Now()
		count := func(event events.Event) int { return lines.FilterField(zap.Int("Event", event.Number)).Len() }
		for range 40 {
			clock.Advance(100 * time.Millisecond)
			keeper.logCutOff(table, clock.Now())
		}
		Expect(count(events.KeeperCutOff)).To(Equal(1))
		keeper.acceptedAt = clock.Now()
		keeper.logCutOff(table, clock.Now())
		Expect(count(events.KeeperReaches)).To(Equal(1))
	})
})
