package lease_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/lease"
	"cherrykeel/views"
)

const (
	hotKey       = "key"
	hotPartition = 3
	// longLease outlasts any spec, since the clocks of the upstreams are real in these specs.
	longLease   = time.Hour
	longTimeout = 30 * time.Second
)

// hosts are the views of entry hosts whose upstreams do not check fences, by name.
type hosts map[string]*views.View

func newHosts() hosts {
	return hosts{"h1": views.New("boot-1", service, 4), "h2": views.New("boot-2", service, 4)}
}

// deliverOrders delivers a ledger's next orders at a time, and their answers.
func (hosts hosts) deliverOrders(ledger *lease.Ledger, at time.Duration) {
	now := cherrykeel.Instant(at)
	for _, order := range ledger.NextOrders(now, now) {
		view := hosts[order.Lessee]
		holding := view.Holding(now)
		if !order.Query {
			holding = view.ApplyGrant(order.Grant, now)
		}
		ledger.RecordAnswer(order, holding, now)
	}
}

// deliverAll delivers orders until the ledger has reached its target as far as it can.
func (hosts hosts) deliverAll(ledger *lease.Ledger, from time.Duration) time.Duration {
	at := from
	for range 6 {
		hosts.deliverOrders(ledger, at)
		at += time.Millisecond
	}
	return at
}

// allowedUpstreams returns the upstreams to which any host may send a key's requests.
func (hosts hosts) allowedUpstreams(at time.Duration, partition int, key string) []string {
	var names []string
	for _, view := range hosts {
		name, allowed := view.StartRequest(partition, key, cherrykeel.Instant(at))
		if allowed {
			names = append(names, name)
		}
	}
	return names
}

func newHostLedger(placement cherrykeel.Placement) *lease.Ledger {
	ledger := lease.NewLedger(service, 1, length, partitionOf, lease.LeaseToHosts(time.Second))
	ledger.SetLessees([]string{"h1", "h2"})
	ledger.SetTarget(placement)
	ledger.SetFreeAt(0)
	return ledger
}

var _ = Describe("a key that changes between its partition's owner and one of its own", func() {
	owners := []string{"a", "a", "b", "b"}
	cold := cherrykeel.Placement{Owners: owners}
	hot := cherrykeel.Placement{Owners: owners, HotKeys: map[string]string{hotKey: "a"}}

	// Guards against two writes to one key at two upstreams: a host sends a request to the key's owner, and then the
	// key changes its owner while its partition does not. A host that counted requests by partition alone would
	// report that the previous owner works on nothing that it has lost.
	DescribeTable("stays with its last owner while a host waits for an answer from it", func(before, after cherrykeel.Placement, last, next string) {
		hosts := newHosts()
		ledger := newHostLedger(before)
		at := hosts.deliverAll(ledger, time.Second)
		sent, allowed := hosts["h1"].StartRequest(hotPartition, hotKey, cherrykeel.Instant(at))
		Expect(allowed).To(BeTrue())
		Expect(sent).To(Equal(last))

		ledger.SetTarget(after)
		at = hosts.deliverAll(ledger, at)
		Expect(hosts.allowedUpstreams(at, hotPartition, hotKey)).NotTo(ContainElement(next), "the request still runs at %s", last)
	},
		Entry("when the key becomes hot", cold, hot, "b", "a"),
		Entry("when the key cools", hot, cold, "a", "b"),
	)

	// The same failure where upstreams check fences: the keeper only learns from an upstream's reported holding what
	// it works on, and a holding that omits a lost key with running requests would hide them.
	DescribeTable("stays with its last owner while that works on it", func(before, after cherrykeel.Placement, last, next string) {
		upstreams := newUpstreams()
		ledger := lease.NewLedger(service, 1, longLease, partitionOf)
		ledger.SetLessees([]string{"a", "b"})
		ledger.SetTarget(before)
		ledger.SetFreeAt(0)
		upstreams.deliverAll(ledger)
		Expect(upstreams.holding(last).mayRun(hotPartition, hotKey)).To(BeTrue())
		finish := upstreams.startRequest(last, hotPartition, hotKey)

		ledger.SetTarget(after)
		upstreams.deliverAll(ledger)
		Expect(upstreams.holding(next).mayRun(hotPartition, hotKey)).To(BeFalse(), "the request still runs at %s", last)
		finish()
		upstreams.deliverAll(ledger)
		Expect(upstreams.holding(next).mayRun(hotPartition, hotKey)).To(BeTrue())
	},
		Entry("when the key becomes hot", cold, hot, "b", "a"),
		Entry("when the key cools", hot, cold, "a", "b"),
	)
})

// upstreams are fakes that check fences, by name; their handlers are called without a network.
type upstreams map[string]*fakes.Upstream

func newUpstreams() upstreams {
	upstreams := upstreams{}
	for _, name := range []string{"a", "b"} {
		// Without slots, a request runs until its caller disconnects.
		upstreams[name] = fakes.NewUpstream(fakes.UpstreamOptions{Name: name, QueueLength: 1, EnforceFences: true})
	}
	return upstreams
}

type holding struct{ cherrykeel.Holding }

// mayRun reports whether the next request for a key would be served.
func (holding holding) mayRun(partition int, key string) bool {
	if slices.Contains(holding.HotKeys, key) {
		return true
	}
	return slices.Contains(holding.Partitions, partition) && !slices.Contains(holding.ExceptKeys, key)
}

func (upstreams upstreams) call(name string, request *http.Request) cherrykeel.Holding {
	recorder := httptest.NewRecorder()
	upstreams[name].ServeHTTP(recorder, request)
	var holding cherrykeel.Holding
	Expect(json.Unmarshal(recorder.Body.Bytes(), &holding)).To(Succeed())
	return holding
}

func (upstreams upstreams) holding(name string) holding {
	return holding{upstreams.call(name, httptest.NewRequest(http.MethodGet, "/.well-known/ownership?service="+service, nil))}
}

func (upstreams upstreams) grant(name string, grant cherrykeel.Grant) cherrykeel.Holding {
	body, err := json.Marshal(grant)
	Expect(err).NotTo(HaveOccurred())
	return upstreams.call(name, httptest.NewRequest(http.MethodPut, "/.well-known/ownership", bytes.NewReader(body)))
}

// deliverAll delivers a ledger's orders and their answers until it has reached its target as far as it can.
func (upstreams upstreams) deliverAll(ledger *lease.Ledger) {
	for range 6 {
		for _, order := range ledger.NextOrders(1, 1) {
			if order.Query {
				ledger.RecordAnswer(order, upstreams.holding(order.Lessee).Holding, 1)
				continue
			}
			ledger.RecordAnswer(order, upstreams.grant(order.Lessee, order.Grant), 1)
		}
	}
}

// startRequest sends a request that its upstream processes until the returned function is called.
func (upstreams upstreams) startRequest(name string, partition int, key string) (finish func()) {
	ctx, cancel := context.WithCancel(context.Background())
	request := httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx)
	request.Header.Set(cherrykeel.HeaderService, service)
	request.Header.Set(cherrykeel.HeaderKey, key)
	request.Header.Set(cherrykeel.HeaderPartition, strconv.Itoa(partition))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { _ = recover() }()
		upstreams[name].ServeHTTP(httptest.NewRecorder(), request)
	}()
	Eventually(upstreams[name].MostAtOnce).WithTimeout(longTimeout).Should(Equal(1))
	return func() {
		cancel()
		Eventually(ended).WithTimeout(longTimeout).Should(BeClosed())
	}
}
