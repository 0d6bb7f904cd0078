package tunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/events"
	"cherrykeel/reach"
)

var (
	// ErrUnreached means that neither this host nor another one that it has asked reaches the upstream.
	ErrUnreached = errors.New("no host reaches the upstream")
	// errNoHost means that no other host has opened the connection.
	errNoHost = errors.New("no other host has opened the connection")
)

// dialTimeout bounds one connection, however it is opened.
const dialTimeout = 400 * time.Millisecond

// Settings has what a Dialer needs from its host.
type Settings struct {
	Self   cherrykeel.Peer
	Clock  cherrykeel.Clock
	Logger *zap.Logger
	Scope  tally.Scope
	// Dial opens a direct TCP connection, and gives up after a time of its own.
	Dial conns.DialFunc
	// UserTimeout is how long bytes sent to another host may stay unacknowledged before a tunnel fails.
	UserTimeout time.Duration
	// FindUpstream returns the upstream with an address.
	FindUpstream func(address string) (cherrykeel.Upstream, bool)
	// FindOthers returns the addresses of selected upstreams, up to a number of them, each time other ones.
	FindOthers func(limit int, isSelected func(upstream cherrykeel.Upstream) bool) []string
	// ShortName returns an upstream's name in the reports of hosts.
	ShortName func(id string) string
	// OnLost is called with an address that this host no longer reaches itself. If its link is silent, open connections
	// there may hang; else new ones are refused, and open ones were reset or live on.
	OnLost func(address string, silent bool)
	// OnRestored is called when this host reaches an address itself again.
	OnRestored func()
}

// Dialer opens connections to upstreams, directly or through another host.
type Dialer struct {
	Settings
	self       cherrykeel.Peer
	clock      cherrykeel.Clock
	peerDialer *net.Dialer

	mutex sync.Mutex
	table *reach.Table
	peers *reach.Peers
	// tunnels are the open tunnels, and orders the open connections for orders.
	tunnels map[*conn]bool
	orders  map[*orderConn]bool
	// linksLostAt is when the links to a service were last found not to work, by service.
	linksLostAt map[string]cherrykeel.Instant
	// linksLost is whether the log last said that links are lost.
	linksLost bool
}

// NewDialer returns a dialer that knows no other hosts yet.
func NewDialer(settings Settings) *Dialer {
	return &Dialer{
		Settings: settings, self: settings.Self, clock: settings.Clock, peerDialer: conns.NewDialer(askTimeout, settings.UserTimeout),
		table: reach.NewTable(rand.Float64), peers: reach.NewPeers(settings.Self.Zone, rand.Float64), tunnels: map[*conn]bool{}, orders: map[*orderConn]bool{}, linksLostAt: map[string]cherrykeel.Instant{},
	}
}

// SetPeers replaces the other hosts.
func (dialer *Dialer) SetPeers(list []cherrykeel.Peer) {
	var others []cherrykeel.Peer
	for _, peer := range list {
		if peer.Name != dialer.self.Name {
			others = append(others, peer)
		}
	}
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.peers.Set(others)
}

// SetStatuses replaces what the other hosts have reported lately, by name.
func (dialer *Dialer) SetStatuses(statuses map[string]reach.Status) {
	dialer.mutex.Lock()
	dialer.peers.SetStatuses(statuses)
	dialer.mutex.Unlock()
	dialer.closeOrders(func(order *orderConn) bool { return order.isStale() })
}

// DialContext opens a connection to an upstream's address; it has the form of net.Dialer's. An error that is
// ECONNREFUSED means that no process listens there, as far as other hosts could be asked.
func (dialer *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.open(ctx, network, address, false)
}

// open opens a connection; order tells that it carries orders only.
func (dialer *Dialer) open(ctx context.Context, network, address string, order bool) (net.Conn, error) {
	plan := dialer.plan(address, order)
	if !plan.Direct && !plan.Tunnel {
		return nil, errors.WithStack(ErrUnreached)
	}
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	attempt := &attempt{dialer: dialer, network: network, address: address, plan: plan, order: order}
	opened, err := attempt.run(bounded)
	if err == nil {
		return opened, nil
	}
	if ctx.Err() != nil {
		return nil, err
	}
	return nil, dialer.recordFailure(attempt, err)
}

func (dialer *Dialer) plan(address string, order bool) reach.Plan {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	if order {
		return dialer.table.PlanOrder(address, dialer.clock.Now())
	}
	return dialer.table.Plan(address, dialer.clock.Now())
}

// order returns the hosts to ask for a connection to an address.
func (dialer *Dialer) order(address string) []cherrykeel.Peer {
	upstream, _ := dialer.FindUpstream(address)
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	return dialer.peers.Order(address, dialer.ShortName(upstream.ID), dialer.clock.Now())
}

// recordFailure records that a connection could not be opened, and returns the error that shows its cause.
func (dialer *Dialer) recordFailure(attempt *attempt, err error) error {
	refused := isRefused(attempt.directError) || attempt.replies.Refused > 0
	if refused && !attempt.plan.Tunnel {
		return err
	}
	links := reach.LinksUnknown
	if attempt.replies.NeedsOwnLinks() {
		links = dialer.checkOwnLinks(attempt.address)
	}
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	now := dialer.clock.Now()
	if refused && dialer.table.IsProcessEnd(attempt.address, attempt.replies, links, now) {
		dialer.table.RecordRefused(attempt.address, now)
		dialer.logPath(events.RefusalBelieved, attempt.address, zap.Strings("Replies", attempt.declined), zap.Stringer("OwnLinks", links))
		return errors.WithStack(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	if dialer.table.RecordUnreached(attempt.address, attempt.replies, links, now) {
		dialer.logPath(events.UpstreamUnreached, attempt.address, zap.Int("Asked", attempt.replies.Total()), zap.Strings("Replies", attempt.declined), zap.Stringer("OwnLinks", links), zap.Error(err))
	}
	return errors.Wrap(ErrUnreached, err.Error())
}

func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// recordConnected records a direct connection.
func (dialer *Dialer) recordConnected(address string) {
	dialer.mutex.Lock()
	now := dialer.clock.Now()
	lostFor := dialer.table.LostFor(address, now)
	change := dialer.table.RecordConnected(address, now)
	if change == reach.Restored {
		dialer.logPath(events.UpstreamDirect, address, zap.Duration("After", lostFor))
		dialer.logSummary()
	}
	dialer.mutex.Unlock()
	if change == reach.Restored {
		dialer.OnRestored()
	}
}

// recordTunneled records a connection through another host. The direct attempt has failed or was late, or was not made.
func (dialer *Dialer) recordTunneled(attempt *attempt, host string) {
	dialer.Scope.Tagged(map[string]string{"host": host}).Counter("tunnels_opened").Inc(1)
	refused := isRefused(attempt.directError)
	dialer.mutex.Lock()
	now := dialer.clock.Now()
	change := reach.Unchanged
	if attempt.plan.Direct {
		change = dialer.table.RecordMiss(attempt.address, refused, now)
	} else {
		dialer.table.RecordTunneled(attempt.address, now)
	}
	if change == reach.Lost {
		dialer.logPath(events.UpstreamLinkLost, attempt.address, zap.String("Via", host), zap.Bool("Refused", refused))
		dialer.logSummary()
	}
	dialer.mutex.Unlock()
	if change != reach.Lost {
		return
	}
	if !refused {
		dialer.closeOrders(func(order *orderConn) bool { return order.address == attempt.address && order.isDirect() })
	}
	dialer.OnLost(attempt.address, !refused)
}

func (dialer *Dialer) recordReply(host, address string, reply reach.Reply) {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.peers.Record(host, address, reply, dialer.clock.Now())
}

// isStale reports whether a tunnel through a host to an address must not be used for another request.
func (dialer *Dialer) isStale(host, address string) bool {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	return dialer.peers.IsLeaving(host) || !dialer.table.IsLost(address) && !dialer.table.IsMissed(address)
}

func (dialer *Dialer) remember(conn *conn) {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.tunnels[conn] = true
}

func (dialer *Dialer) forget(conn *conn) {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	delete(dialer.tunnels, conn)
}
