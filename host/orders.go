package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/keeper"
	"cherrykeel/lease"
	"cherrykeel/wire"
)

const peerTimeout = 250 * time.Millisecond

var errNoAddress = errors.New("the recipient has no known address")

// sendOrder sends an order to its lessee and records the answer or the failure.
func (coordinator *coordinator) sendOrder(service *cherrykeel.Service, leaseLength time.Duration, order lease.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(orderTimeoutShare*float64(leaseLength)))
	defer cancel()
	coordinator.mutex.Lock()
	throughPeer := coordinator.keeper(service.Path).ShouldRelay(order)
	coordinator.mutex.Unlock()
	holding, err := coordinator.deliver(ctx, service, order, throughPeer)
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if err != nil {
		coordinator.keeper(service.Path).RecordFailure(order)
		return
	}
	coordinator.keeper(service.Path).RecordAnswer(order, holding, coordinator.host.clock.Now())
}

func (coordinator *coordinator) deliver(ctx context.Context, service *cherrykeel.Service, order lease.Order, throughPeer bool) (cherrykeel.Holding, error) {
	grant := order.Grant
	grant.Service = service.Path
	if !service.ChecksFences {
		return coordinator.deliverToHost(ctx, order, grant)
	}
	address := addressOf(service, order.Lessee)
	if address == "" {
		return cherrykeel.Holding{}, errNoAddress
	}
	if throughPeer {
		// The direct way has failed. Only this host may be unable to reach the upstream, so every other attempt goes
		// through a peer.
		return coordinator.deliverThroughPeer(ctx, wire.ForwardGrant{Address: address, Query: order.Query, Grant: grant})
	}
	return coordinator.host.grantOrQuery(ctx, wire.ForwardGrant{Address: address, Query: order.Query, Grant: grant})
}

func (host *Host) grantOrQuery(ctx context.Context, request wire.ForwardGrant) (cherrykeel.Holding, error) {
	if request.Query {
		return host.granter.RequestHolding(ctx, request.Address, request.Grant.Service)
	}
	return host.granter.Grant(ctx, request.Address, request.Grant)
}

func (coordinator *coordinator) deliverToHost(ctx context.Context, order lease.Order, grant cherrykeel.Grant) (cherrykeel.Holding, error) {
	if order.Lessee == coordinator.host.config.Name {
		holding, known := coordinator.host.fleet.GrantOrQueryView(order.Query, grant)
		if !known {
			return holding, errNoAddress
		}
		return holding, nil
	}
	var holding cherrykeel.Holding
	err := coordinator.host.call(ctx, order.Lessee, wire.MethodViewGrant, wire.ViewGrant{Query: order.Query, Grant: grant}, &holding)
	return holding, err
}

func (coordinator *coordinator) deliverThroughPeer(ctx context.Context, request wire.ForwardGrant) (cherrykeel.Holding, error) {
	var holding cherrykeel.Holding
	others := coordinator.host.others()
	if len(others) == 0 {
		return coordinator.host.grantOrQuery(ctx, request)
	}
	peer := others[rand.IntN(len(others))]
	err := coordinator.host.call(ctx, peer, wire.MethodForwardGrant, request, &holding)
	return holding, err
}

func addressOf(service *cherrykeel.Service, upstream string) string {
	for _, server := range service.Upstreams {
		if server.Name == upstream {
			return server.Address
		}
	}
	return ""
}

// others returns the names of the other entry hosts on the platform's list.
func (host *Host) others() []string {
	var names []string
	for _, peer := range host.roster.peers() {
		if peer.Name != host.config.Name {
			names = append(names, peer.Name)
		}
	}
	return names
}

// call sends a message to the named peer and reads its reply.
func (host *Host) call(ctx context.Context, name, method string, message, reply any) error {
	address := host.roster.internalAddress(name)
	if address == "" {
		return errors.Wrap(errNoAddress, name)
	}
	return host.peerClient.Call(ctx, address, method, message, reply)
}

func (coordinator *coordinator) requestConfirmation(witness string, terms map[string]int64) {
	sent := coordinator.host.clock.Now()
	if witness == coordinator.host.config.Name {
		coordinator.mutex.Lock()
		defer coordinator.mutex.Unlock()
		for _, service := range coordinator.confirmedServices(terms, sent) {
			coordinator.keeper(service).RecordConfirmation(witness, terms[service], sent)
		}
		return
	}
	coordinator.submit(func() { coordinator.requestPeerConfirmation(witness, terms) })
}

func (coordinator *coordinator) requestPeerConfirmation(witness string, terms map[string]int64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	// The clock is read just before sending, not when the task was queued: the wait for a worker would make the
	// confirmation look older than it is.
	sent := coordinator.host.clock.Now()
	var reply wire.ConfirmReply
	err := coordinator.host.call(ctx, witness, wire.MethodConfirm, wire.Confirm{Terms: terms}, &reply)
	if err != nil {
		return
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	for _, service := range reply.Confirmed {
		coordinator.keeper(service).RecordConfirmation(witness, terms[service], sent)
	}
}

// confirmedServices returns the services whose terms this host's witness confirms. The caller holds the mutex.
func (coordinator *coordinator) confirmedServices(terms map[string]int64, now cherrykeel.Instant) []string {
	var confirmed []string
	for service, term := range terms {
		if coordinator.witness.Confirm(service, term, now) {
			confirmed = append(confirmed, service)
		}
	}
	return confirmed
}

func (coordinator *coordinator) sendTermNotice(service string, notice keeper.TermNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if notice.Host == coordinator.host.config.Name {
		coordinator.recordTerm(service, notice.Term)
	} else {
		var reply wire.EmptyReply
		err := coordinator.host.call(ctx, notice.Host, wire.MethodAnnounceTerm, wire.AnnounceTerm{Service: service, Term: notice.Term}, &reply)
		if err != nil {
			return
		}
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.keeper(service).RecordTermLearned(notice, coordinator.host.clock.Now())
}

func (coordinator *coordinator) recordTerm(service string, term int64) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.witness.RecordTerm(service, term)
}

func (coordinator *coordinator) requestSilence(service, name string, leaseLength time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var reply wire.SilenceReply
	err := coordinator.host.call(ctx, name, wire.MethodSilence, wire.Silence{Service: service}, &reply)
	if err != nil {
		return
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.keeper(service).RecordSilence(name, reply.Silence, leaseLength, coordinator.host.clock.Now())
}

// announceOverlay sends a placement that the log does not have yet to every entry host.
func (coordinator *coordinator) announceOverlay(overlay keeper.Overlay) {
	events.Log(coordinator.host.logger, events.SuccessorsPromoted, zap.String("Service", overlay.Service), zap.Int64("Term", overlay.Term))
	coordinator.applyOverlay(overlay)
	for _, name := range coordinator.host.others() {
		coordinator.submit(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			var reply wire.EmptyReply
			_ = coordinator.host.call(ctx, name, wire.MethodOverlay, wire.Overlay{Overlay: overlay}, &reply)
		})
	}
}
