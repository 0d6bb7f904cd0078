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
	// longLease outlasts any spec, since the upstreams' clocks here are real.
	longLease = time.Hour
	generous  = 30 * time.Second
)

// hosts are the views of entry hosts whose upstreams check no fences.
type hosts map[string]*views.View

func newHosts() hosts {
	return hosts{"h1": views.New("boot-1", service, 4), "h2": views.New("boot-2", service, 4)}
}

// round delivers what a ledger orders at a time, and the answers.
func (hosts hosts) round(ledger *lease.Ledger, at time.Duration) {
	now := cherrykeel.Instant(at)
	for _, order := range ledger.NextOrders(now, now) {
		view := hosts[order.Lessee]
		holding := view.Holding(now)
		if !order.Query {
			holding = view.Grant(order.Grant, now)
		}
		ledger.RecordAnswer(order, holding, now)
	}
}

// rounds lets a ledger carry its changes through as far as it may.
func (hosts hosts) rounds(ledger *lease.Ledger, from time.Duration) time.Duration {
	at := from
	for range 6 {
		hosts.round(ledger, at)
		at += time.Millisecond
	}
	return at
}

// sendsTo returns the upstreams to which any host may send a key's requests.
func (hosts hosts) sendsTo(at time.Duration, partition int, key string) []string {
	var names []string
	for _, view := range hosts {
		name, allowed := view.Enter(partition, key, cherrykeel.Instant(at))
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

var _ = Describe("a key that changes between its partition and an owner of its own", func() {
	owners := []string{"a", "a", "b", "b"}
	cold := cherrykeel.Placement{Owners: owners}
	hot := cherrykeel.Placement{Owners: owners, HotKeys: map[string]string{hotKey: "a"}}

	// The caller's two writes to one key run at two upstreams at once, and one is lost. A host has sent the
	// first to the key's owner; the key changes hands, and the partition that it hashes to does not. A host
	// that counts requests by partition alone says that the last owner works on nothing it has lost.
	DescribeTable("stays with its last owner while a host waits for an answer there", func(before, after cherrykeel.Placement, last, next string) {
		hosts := newHosts()
		ledger := newHostLedger(before)
		at := hosts.rounds(ledger, time.Second)
		sent, allowed := hosts["h1"].Enter(hotPartition, hotKey, cherrykeel.Instant(at))
		Expect(allowed).To(BeTrue())
		Expect(sent).To(Equal(last))

		ledger.SetTarget(after)
		at = hosts.rounds(ledger, at)
		Expect(hosts.sendsTo(at, hotPartition, hotKey)).NotTo(ContainElement(next), "the request still runs at %s", last)
	},
		Entry("when the key becomes hot", cold, hot, "b", "a"),
		Entry("when the key cools", hot, cold, "a", "b"),
	)

	// As above, where the upstreams check fences: what an upstream says it holds is all that the keeper
	// knows of its work, and it says nothing of a key that it has lost and still works on.
	DescribeTable("stays with its last owner while that works on it", func(before, after cherrykeel.Placement, last, next string) {
		upstreams := newUpstreams()
		ledger := lease.NewLedger(service, 1, longLease, partitionOf)
		ledger.SetLessees([]string{"a", "b"})
		ledger.SetTarget(before)
		ledger.SetFreeAt(0)
		upstreams.rounds(ledger)
		Expect(upstreams.holding(last).mayRun(hotPartition, hotKey)).To(BeTrue())
		finish := upstreams.begin(last, hotPartition, hotKey)

		ledger.SetTarget(after)
		upstreams.rounds(ledger)
		Expect(upstreams.holding(next).mayRun(hotPartition, hotKey)).To(BeFalse(), "the request still runs at %s", last)
		finish()
		upstreams.rounds(ledger)
		Expect(upstreams.holding(next).mayRun(hotPartition, hotKey)).To(BeTrue())
	},
		Entry("when the key becomes hot", cold, hot, "b", "a"),
		Entry("when the key cools", hot, cold, "a", "b"),
	)
})

// upstreams check fences; their handlers are called without a network.
type upstreams map[string]*fakes.Upstream

func newUpstreams() upstreams {
	upstreams := upstreams{}
	for _, name := range []string{"a", "b"} {
		// Without slots, a request is at work until its caller goes away.
		upstreams[name] = fakes.NewUpstream(fakes.UpstreamOptions{Name: name, QueueLength: 1, EnforceFences: true})
	}
	return upstreams
}

type held struct{ cherrykeel.Holding }

// mayRun reports whether the next request for a key would run.
func (held held) mayRun(partition int, key string) bool {
	if slices.Contains(held.HotKeys, key) {
		return true
	}
	return slices.Contains(held.Partitions, partition) && !slices.Contains(held.ExceptKeys, key)
}

func (upstreams upstreams) call(name string, request *http.Request) cherrykeel.Holding {
	recorder := httptest.NewRecorder()
	upstreams[name].ServeHTTP(recorder, request)
	var holding cherrykeel.Holding
	Expect(json.Unmarshal(recorder.Body.Bytes(), &holding)).To(Succeed())
	return holding
}

func (upstreams upstreams) holding(name string) held {
	return held{upstreams.call(name, httptest.NewRequest(http.MethodGet, "/.well-known/ownership?service="+service, nil))}
}

func (upstreams upstreams) grant(name string, grant cherrykeel.Grant) cherrykeel.Holding {
	body, err := json.Marshal(grant)
	Expect(err).NotTo(HaveOccurred())
	return upstreams.call(name, httptest.NewRequest(http.MethodPut, "/.well-known/ownership", bytes.NewReader(body)))
}

// rounds delivers a ledger's orders, and the answers, until it has carried its changes through as far as it may.
func (upstreams upstreams) rounds(ledger *lease.Ledger) {
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

// begin sends a request that its upstream works on until the returned function ends it.
func (upstreams upstreams) begin(name string, partition int, key string) (finish func()) {
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
	Eventually(upstreams[name].MostAtOnce).WithTimeout(generous).Should(Equal(1))
	return func() {
		cancel()
		Eventually(ended).WithTimeout(generous).Should(BeClosed())
	}
}
