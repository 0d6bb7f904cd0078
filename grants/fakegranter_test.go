package grants_test

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
)

type sentGrant struct {
	id    string
	grant cherrykeel.SpanGrant
}

// fakeGranter records what upstreams hold and counts keys with two owners.
type fakeGranter struct {
	mutex        sync.Mutex
	sent         []sentGrant
	held         map[string]map[cherrykeel.KeySpan]time.Time
	unresponsive map[string]bool
	fences       map[string]int64
	overlaps     int
	released     []string
	finishWork   chan struct{}
	leaving      map[string]bool
	probed       int
	// probes counts the probes by upstream; those in rest turn them away.
	probes map[string]int
	// replaced has the upstreams at whose address another one answers; identified counts the questions by upstream.
	replaced   map[string]bool
	identified map[string]int
	rest       map[string]time.Duration
	// resets is the number of the next grants to an upstream whose connections are reset; lostReleaseAnswers is the
	// number of the next releases that are carried out but not answered.
	resets             map[string]int
	lostReleaseAnswers int
	// keepsLonger makes upstreams keep the longer of two leases; otherwise the last grant counts.
	keepsLonger bool
	// attempts counts all grants that were sent, by upstream, whether answered or not.
	attempts map[string]int
}

func newFakeGranter() *fakeGranter {
	return &fakeGranter{held: map[string]map[cherrykeel.KeySpan]time.Time{}, unresponsive: map[string]bool{}, fences: map[string]int64{}, attempts: map[string]int{}, probes: map[string]int{}, replaced: map[string]bool{}, identified: map[string]int{}}
}

func (granter *fakeGranter) Grant(_ context.Context, upstream cherrykeel.Upstream, grant cherrykeel.SpanGrant) error {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	granter.attempts[upstream.ID]++
	if granter.unresponsive[upstream.ID] {
		return errors.WithStack(cherrykeel.ErrNoAnswer)
	}
	if granter.resets[upstream.ID] > 0 {
		granter.resets[upstream.ID]--
		return errors.WithStack(cherrykeel.ErrNoAnswer)
	}
	if granter.fences[upstream.ID] > grant.Fence {
		return errors.WithStack(cherrykeel.ErrFenced)
	}
	granter.sent = append(granter.sent, sentGrant{id: upstream.ID, grant: grant})
	for other, spans := range granter.held {
		for span, until := range spans {
			overlaps := span.First <= grant.Span.Last && span.Last >= grant.Span.First
			if other != upstream.ID && overlaps && time.Now().Before(until) {
				granter.overlaps++
			}
		}
	}
	if granter.held[upstream.ID] == nil {
		granter.held[upstream.ID] = map[cherrykeel.KeySpan]time.Time{}
	}
	until := time.Now().Add(grant.LeaseDuration)
	if before := granter.held[upstream.ID][grant.Span]; granter.keepsLonger && before.After(until) {
		until = before
	}
	granter.held[upstream.ID][grant.Span] = until
	return nil
}

func (granter *fakeGranter) Release(ctx context.Context, upstream cherrykeel.Upstream, span cherrykeel.KeySpan, _ int64) (string, error) {
	if granter.finishWork != nil {
		select {
		case <-granter.finishWork:
		case <-ctx.Done():
			return "", errors.WithStack(cherrykeel.ErrNoAnswer)
		}
	}
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	if granter.unresponsive[upstream.ID] {
		return "", errors.WithStack(cherrykeel.ErrNoAnswer)
	}
	granter.released = append(granter.released, upstream.ID)
	for held := range granter.held[upstream.ID] {
		if held.First <= span.Last && held.Last >= span.First {
			delete(granter.held[upstream.ID], held)
		}
	}
	if granter.lostReleaseAnswers > 0 {
		granter.lostReleaseAnswers--
		return "", errors.WithStack(cherrykeel.ErrNoAnswer)
	}
	return "token-" + upstream.ID, nil
}

func (granter *fakeGranter) IsLeaving(_ context.Context, upstream cherrykeel.Upstream, _ string) (bool, error) {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	granter.probed++
	granter.probes[upstream.ID]++
	if granter.rest[upstream.ID] > 0 {
		return false, errors.WithStack(&cherrykeel.RestError{Rest: granter.rest[upstream.ID]})
	}
	return granter.leaving[upstream.ID], nil
}

func (granter *fakeGranter) Identify(_ context.Context, upstream cherrykeel.Upstream, _ string) error {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	granter.identified[upstream.ID]++
	switch {
	case granter.replaced[upstream.ID]:
		return errors.WithStack(cherrykeel.ErrUpstreamReplaced)
	case granter.unresponsive[upstream.ID]:
		return errors.WithStack(cherrykeel.ErrNoAnswer)
	default:
		return nil
	}
}

func (granter *fakeGranter) attemptsTo(id string) int {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	return granter.attempts[id]
}

func (granter *fakeGranter) set(change func()) {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	change()
}

func (granter *fakeGranter) count(id string) func() int {
	return func() int {
		granter.mutex.Lock()
		defer granter.mutex.Unlock()
		count := 0
		for _, sent := range granter.sent {
			if sent.id == id {
				count++
			}
		}
		return count
	}
}

func (granter *fakeGranter) last(id string) cherrykeel.SpanGrant {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	var last cherrykeel.SpanGrant
	for _, sent := range granter.sent {
		if sent.id == id {
			last = sent.grant
		}
	}
	return last
}
