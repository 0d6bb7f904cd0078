package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/permit"
)

const (
	// identifyInterval is how often one upstream is asked who it is, at the most. The first doubt is asked about at once; each
	// question costs a connection.
	identifyInterval = 3 * time.Second
	// identifyTimeout bounds one question.
	identifyTimeout = 500 * time.Millisecond
	// maxIdentifying bounds the questions under way.
	maxIdentifying = 8
)

// doubts has the upstreams that were asked lately who they are.
type doubts struct {
	mutex   sync.Mutex
	askedAt map[permit.Incarnation]cherrykeel.Instant
	asking  int
}

// begin reports whether an upstream is to be asked now; end must be called after that.
func (doubts *doubts) begin(incarnation permit.Incarnation, now cherrykeel.Instant) bool {
	doubts.mutex.Lock()
	defer doubts.mutex.Unlock()
	for other, askedAt := range doubts.askedAt {
		if now.Sub(askedAt) >= identifyInterval {
			delete(doubts.askedAt, other)
		}
	}
	_, asked := doubts.askedAt[incarnation]
	if asked || doubts.asking >= maxIdentifying {
		return false
	}
	doubts.askedAt[incarnation] = now
	doubts.asking++
	return true
}

func (doubts *doubts) end() {
	doubts.mutex.Lock()
	defer doubts.mutex.Unlock()
	doubts.asking--
}

// identify asks who listens at an upstream's address, where an answer has named another upstream and no request of this
// host. That answer shows nothing by itself, but requests to an upstream that has ended fail until somebody asks.
func (host *Host) identify(upstream cherrykeel.Upstream) {
	routes, _ := host.routes.Current()
	path := routes.Services[upstream.Service].HealthPath
	if path == "" || host.relay.IsResting(upstream) || !host.doubts.begin(permit.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt}, host.clock.Now()) {
		return
	}
	go func() {
		defer host.doubts.end()
		ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
		defer cancel()
		err := host.granter.Identify(ctx, upstream, path)
		if errors.Is(err, cherrykeel.ErrUpstreamReplaced) {
			host.upstreams.MarkEnded(upstream)
		}
	}()
}
