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

var errNoAddress = errors.New("the lessee has no known address")

// send carries an order to its lessee and its answer back.
func (duty *duty) send(service *cherrykeel.Service, leaseLength time.Duration, order lease.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(orderShare*float64(leaseLength)))
	defer cancel()
	duty.mutex.Lock()
	relayed := duty.keeper(service.Path).ShouldRelay(order)
	duty.mutex.Unlock()
	holding, err := duty.deliver(ctx, service, order, relayed)
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if err != nil {
		duty.keeper(service.Path).RecordFailure(order)
		return
	}
	duty.keeper(service.Path).RecordAnswer(order, holding, duty.host.clock.Now())
}

func (duty *duty) deliver(ctx context.Context, service *cherrykeel.Service, order lease.Order, relayed bool) (cherrykeel.Holding, error) {
	grant := order.Grant
	grant.Service = service.Path
	if !service.ChecksFences {
		return duty.deliverView(ctx, order, grant)
	}
	address := addressOf(service, order.Lessee)
	if address == "" {
		return cherrykeel.Holding{}, errNoAddress
	}
	if relayed {
		// This host alone may be the one that is cut off, so every other try goes through a peer.
		return duty.deliverThroughPeer(ctx, wire.ForwardGrant{Address: address, Query: order.Query, Grant: grant})
	}
	return duty.host.grantOrAsk(ctx, wire.ForwardGrant{Address: address, Query: order.Query, Grant: grant})
}

func (host *Host) grantOrAsk(ctx context.Context, relay wire.ForwardGrant) (cherrykeel.Holding, error) {
	if relay.Query {
		return host.granter.RequestHolding(ctx, relay.Address, relay.Grant.Service)
	}
	return host.granter.Grant(ctx, relay.Address, relay.Grant)
}

func (duty *duty) deliverView(ctx context.Context, order lease.Order, grant cherrykeel.Grant) (cherrykeel.Holding, error) {
	if order.Lessee == duty.host.config.Name {
		holding, known := duty.host.fleet.GrantOrQueryView(order.Query, grant)
		if !known {
			return holding, errNoAddress
		}
		return holding, nil
	}
	var holding cherrykeel.Holding
	err := duty.host.call(ctx, order.Lessee, wire.MethodViewGrant, wire.ViewGrant{Query: order.Query, Grant: grant}, &holding)
	return holding, err
}

func (duty *duty) deliverThroughPeer(ctx context.Context, relay wire.ForwardGrant) (cherrykeel.Holding, error) {
	var holding cherrykeel.Holding
	others := duty.host.others()
	if len(others) == 0 {
		return duty.host.grantOrAsk(ctx, relay)
	}
	peer := others[rand.IntN(len(others))]
	err := duty.host.call(ctx, peer, wire.MethodForwardGrant, relay, &holding)
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

// others names the other entry hosts on the list.
func (host *Host) others() []string {
	var names []string
	for _, peer := range host.roster.peers() {
		if peer.Name != host.config.Name {
			names = append(names, peer.Name)
		}
	}
	return names
}

// call sends a message to a peer by name.
func (host *Host) call(ctx context.Context, name, method string, message, reply any) error {
	address := host.roster.inner(name)
	if address == "" {
		return errors.Wrap(errNoAddress, name)
	}
	return host.peers.Call(ctx, address, method, message, reply)
}

func (duty *duty) confirm(witness string, terms map[string]int64) {
	sent := duty.host.clock.Now()
	if witness == duty.host.config.Name {
		duty.mutex.Lock()
		defer duty.mutex.Unlock()
		for _, service := range duty.confirmable(terms, sent) {
			duty.keeper(service).RecordConfirmation(witness, terms[service], sent)
		}
		return
	}
	duty.submit(func() { duty.askConfirm(witness, terms) })
}

func (duty *duty) askConfirm(witness string, terms map[string]int64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	// Read just before sending: time that the task waited for a worker must not lengthen a lease.
	sent := duty.host.clock.Now()
	var reply wire.ConfirmReply
	err := duty.host.call(ctx, witness, wire.MethodConfirm, wire.Confirm{Terms: terms}, &reply)
	if err != nil {
		return
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	for _, service := range reply.Confirmed {
		duty.keeper(service).RecordConfirmation(witness, terms[service], sent)
	}
}

// confirmable returns the services whose terms this host's witness confirms.
func (duty *duty) confirmable(terms map[string]int64, now cherrykeel.Instant) []string {
	var confirmed []string
	for service, term := range terms {
		if duty.witness.Confirm(service, term, now) {
			confirmed = append(confirmed, service)
		}
	}
	return confirmed
}

func (duty *duty) teach(service string, teaching keeper.TermNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if teaching.Host == duty.host.config.Name {
		duty.learn(service, teaching.Term)
	} else {
		var done wire.EmptyReply
		err := duty.host.call(ctx, teaching.Host, wire.MethodAnnounceTerm, wire.AnnounceTerm{Service: service, Term: teaching.Term}, &done)
		if err != nil {
			return
		}
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.keeper(service).RecordTermLearned(teaching, duty.host.clock.Now())
}

func (duty *duty) learn(service string, term int64) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.witness.RecordTerm(service, term)
}

func (duty *duty) askSilence(service, name string, leaseLength time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var reply wire.SilenceReply
	err := duty.host.call(ctx, name, wire.MethodSilence, wire.Silence{Service: service}, &reply)
	if err != nil {
		return
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.keeper(service).RecordSilence(name, reply.Silence, leaseLength, duty.host.clock.Now())
}

// spread sends a placement that the log lacks to every entry host.
func (duty *duty) spread(overlay keeper.Overlay) {
	events.Log(duty.host.logger, events.SuccessorsPromoted, zap.String("Service", overlay.Service), zap.Int64("Term", overlay.Term))
	duty.applyOverlay(overlay)
	for _, name := range duty.host.others() {
		duty.submit(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			var done wire.EmptyReply
			_ = duty.host.call(ctx, name, wire.MethodOverlay, wire.Overlay{Overlay: overlay}, &done)
		})
	}
}
