package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/follow"
	"cherrykeel/member"
	"cherrykeel/wire"

	"go.uber.org/zap"
)

const (
	helloInterval = time.Second
	helloTimeout  = 800 * time.Millisecond
	// hellosPerDemand is how many hellos are sent per report of demand by partition, which is much larger.
	hellosPerDemand = 5
	// peerFreshFor is how long a peer counts as reachable after its last message.
	peerFreshFor = 5 * time.Second
	fetchTimeout = time.Second
)

// methods returns the methods that peers may call.
func (host *Host) methods() map[string]wire.Method {
	return map[string]wire.Method{
		wire.MethodHello:             host.onHello,
		wire.MethodConfirm:           host.onConfirm,
		wire.MethodAnnounceTerm:      host.onAnnounceTerm,
		wire.MethodSilence:           host.onSilence,
		wire.MethodOverlay:           host.onOverlay,
		wire.MethodForwardGrant:      host.onForwardGrant,
		wire.MethodViewGrant:         host.onViewGrant,
		wire.MethodFetch:             host.onFetch,
		wire.MethodSlots:             host.onSlots,
		wire.MethodSuspectedRequests: host.onSuspectedRequests,
	}
}

func (host *Host) onHello(_ context.Context, params json.RawMessage) (any, error) {
	var hello wire.Hello
	err := json.Unmarshal(params, &hello)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	host.receiveHello(hello)
	status := host.follower.Status()
	return wire.HelloReply{Host: host.config.Name, Next: status.Next, Chain: status.Chain}, nil
}

func (host *Host) receiveHello(hello wire.Hello) {
	host.roster.recordReport(member.PeerReport{
		Host:         hello.Host,
		Leaving:      hello.Leaving,
		Next:         hello.Next,
		Chain:        hello.Chain,
		Version:      hello.Version,
		LogAvailable: hello.LogUp,
		Unreachable:  hello.Unreachable,
		Refusing:     hello.Refusing,
	}, host.clock.Now())
	for service, demand := range hello.Demands {
		host.coordinator.receiveDemand(hello.Host, service, demand)
	}
	if host.follower.HasDiverged(hello.Next, hello.Chain) {
		events.Log(host.logger, events.FoldDiverged, zap.String("Peer", hello.Host), zap.Int64("Next", hello.Next))
	}
}

func (host *Host) onConfirm(_ context.Context, params json.RawMessage) (any, error) {
	var confirm wire.Confirm
	err := json.Unmarshal(params, &confirm)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	host.coordinator.mutex.Lock()
	defer host.coordinator.mutex.Unlock()
	return wire.ConfirmReply{Confirmed: host.coordinator.confirmedServices(confirm.Terms, host.clock.Now())}, nil
}

func (host *Host) onAnnounceTerm(_ context.Context, params json.RawMessage) (any, error) {
	var announcement wire.AnnounceTerm
	err := json.Unmarshal(params, &announcement)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	host.coordinator.recordTerm(announcement.Service, announcement.Term)
	return wire.EmptyReply{}, nil
}

func (host *Host) onSilence(_ context.Context, params json.RawMessage) (any, error) {
	var silence wire.Silence
	err := json.Unmarshal(params, &silence)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	host.coordinator.mutex.Lock()
	defer host.coordinator.mutex.Unlock()
	lastRequestAt := host.coordinator.witness.LastRequestAt(silence.Service)
	return wire.SilenceReply{Silence: host.clock.Now().Sub(lastRequestAt)}, nil
}

func (host *Host) onOverlay(_ context.Context, params json.RawMessage) (any, error) {
	var overlay wire.Overlay
	err := json.Unmarshal(params, &overlay)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	host.coordinator.applyOverlay(overlay.Overlay)
	return wire.EmptyReply{}, nil
}

func (host *Host) onForwardGrant(ctx context.Context, params json.RawMessage) (any, error) {
	var request wire.ForwardGrant
	err := json.Unmarshal(params, &request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return host.grantOrQuery(ctx, request)
}

func (host *Host) onViewGrant(_ context.Context, params json.RawMessage) (any, error) {
	var view wire.ViewGrant
	err := json.Unmarshal(params, &view)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	holding, known := host.fleet.GrantOrQueryView(view.Query, view.Grant)
	if !known {
		return nil, errors.Errorf("this host has no service %s", view.Grant.Service)
	}
	return holding, nil
}

func (host *Host) onFetch(_ context.Context, params json.RawMessage) (any, error) {
	var fetch wire.Fetch
	err := json.Unmarshal(params, &fetch)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if !host.follower.Status().CaughtUp {
		return nil, errors.New("this host has not caught up with the log")
	}
	missing, err := host.follower.RecordsFrom(fetch.From)
	return wire.FetchReply{MissingRecords: missing}, err
}

// sendHellos reports this host's state to its hello targets, and its demand with every hellosPerDemand-th hello.
func (host *Host) sendHellos(context.Context) {
	status := host.follower.Status()
	unreachable, refusing := host.fleet.UnavailableUpstreams()
	hello := wire.Hello{
		Host:        host.config.Name,
		Zone:        host.config.Zone,
		Leaving:     host.stopping.Load(),
		Next:        status.Next,
		Chain:       status.Chain,
		Version:     host.follower.State().Version,
		LogUp:       status.LogUp,
		Unreachable: unreachable,
		Refusing:    refusing,
	}
	demands := map[string]cherrykeel.Demand{}
	if host.helloCount.Add(1)%hellosPerDemand == 0 {
		demands = host.fleet.Demands(partitionOf)
	}
	own := hello
	own.Demands = host.coordinator.demandsForKeeper(host.config.Name, demands)
	host.receiveHello(own)
	for name := range host.helloTargets() {
		message := hello
		message.Demands = host.coordinator.demandsForKeeper(name, demands)
		_ = host.workers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
			defer cancel()
			var reply wire.HelloReply
			_ = host.call(ctx, name, wire.MethodHello, message, &reply)
		})
	}
}

// helloTargets returns the names of the peers that this host reports to: its neighbours, and the keepers of the
// services that it has sent requests to recently.
func (host *Host) helloTargets() map[string]bool {
	names := append(host.others(), host.config.Name)
	targets := map[string]bool{}
	for _, name := range member.Neighbours(host.config.Name, names) {
		targets[name] = true
	}
	for service := range host.fleet.SlotRequests() {
		targets[host.coordinator.keeperOf(service)] = true
	}
	delete(targets, "")
	delete(targets, host.config.Name)
	return targets
}

// Fetch implements follow.Peers.
func (host *Host) Fetch(ctx context.Context, from int64, quorum bool) (follow.MissingRecords, error) {
	others := host.others()
	needed := 1
	if quorum {
		// A host that has not caught up since its start must not rely on a single peer, which may itself be behind. Of a
		// majority of the peers, at least one has read the newest acknowledged record.
		needed = len(others)/2 + 1
	}
	newest := follow.MissingRecords{Next: -1}
	answers := 0
	for _, name := range others {
		missing, err := host.fetchFrom(ctx, name, from)
		if err != nil {
			continue
		}
		answers++
		if missing.Next > newest.Next {
			newest = missing
		}
		if answers >= needed {
			return newest, nil
		}
	}
	return follow.MissingRecords{}, errors.Errorf("%d of %d peers answered, %d are needed", answers, len(others), needed)
}

func (host *Host) fetchFrom(ctx context.Context, name string, from int64) (follow.MissingRecords, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply wire.FetchReply
	err := host.call(ctx, name, wire.MethodFetch, wire.Fetch{From: from}, &reply)
	return reply.MissingRecords, err
}
