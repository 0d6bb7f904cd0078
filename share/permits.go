package share

import (
	"time"

	"cherrykeel"
	"cherrykeel/permit"
)

// Statement is what a host knows of an upstream from its answers, with times as they were when it was sent.
type Statement struct {
	Upstream permit.Incarnation
	// Leaving is true if the upstream is leaving, as hosts have known for LeavingFor.
	Leaving    bool          `json:",omitempty"`
	LeavingFor time.Duration `json:",omitempty"`
	// Limited is true if it names a limit.
	Limited bool    `json:",omitempty"`
	Limit   float64 `json:",omitempty"`
	// SentAgo and ReceivedAgo are how long ago the request was sent and its answer received.
	SentAgo     time.Duration
	ReceivedAgo time.Duration
}

// SetLimit sets what is known of the upstream's limit, if anything is, to be sent now.
func (statement *Statement) SetLimit(known permit.Statement, now cherrykeel.Instant) {
	if known == (permit.Statement{}) {
		return
	}
	statement.Limited, statement.Limit = known.Limited, known.PerSecond
	statement.SentAgo, statement.ReceivedAgo = now.Sub(known.SentAt), now.Sub(known.ReceivedAt)
}

// LimitAt returns what it says of the limit, with times of this host, which receives it now; false if it says nothing.
func (statement Statement) LimitAt(now cherrykeel.Instant) (permit.Statement, bool) {
	return permit.Statement{
		Limited: statement.Limited, PerSecond: statement.Limit,
		SentAt: now.Add(-statement.SentAgo), ReceivedAt: now.Add(-statement.ReceivedAgo),
	}, statement.SentAgo > 0
}

// Asks is what a host wants of the upstreams that the receiver is the allocator of, and what it knows of them.
type Asks struct {
	Host        string
	Incarnation string       `json:"Life"`
	Asks        []permit.Ask `json:",omitempty"`
	Statements  []Statement  `json:",omitempty"`
}

// Permits are an allocator's replies to a host.
type Permits struct {
	Host        string
	Incarnation string `json:"Life"`
	Replies     []permit.Reply
}

// PermitHandler handles what other hosts send about permits.
type PermitHandler interface {
	// HandleAsks handles what a host wants.
	HandleAsks(asks Asks)
	// HandlePermits handles what a host has given.
	HandlePermits(permits Permits)
}

// noPermits is the handler of a mesh without permits.
type noPermits struct{}

// HandleAsks implements PermitHandler.
func (noPermits) HandleAsks(Asks) {}

// HandlePermits implements PermitHandler.
func (noPermits) HandlePermits(Permits) {}

// SetPermitHandler sets the handler, before Run is called.
func (mesh *Mesh) SetPermitHandler(handler PermitHandler) {
	mesh.permitHandler = handler
}

// SendAsks sends a host what this one wants of the upstreams that it is the allocator of.
func (mesh *Mesh) SendAsks(name string, asks []permit.Ask, statements []Statement) {
	mesh.send(methodAsks, Asks{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation, Asks: asks, Statements: statements}, []string{name})
}

// SendPermits sends a host what it gets.
func (mesh *Mesh) SendPermits(name string, replies []permit.Reply) {
	mesh.send(methodPermits, Permits{Host: mesh.self.Name, Incarnation: mesh.self.Incarnation, Replies: replies}, []string{name})
}

// Allocators returns the hosts among which upstreams have their allocators: the hubs that hand out permits and do not
// stop.
func (mesh *Mesh) Allocators(isStopping bool) []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	var names []string
	for _, name := range mesh.plan.Hubs {
		if name == mesh.self.Name {
			if !isStopping {
				names = append(names, name)
			}
			continue
		}
		received, known := mesh.reports[name]
		report := received.Report
		if known && now.Sub(received.ReceivedAt) <= staleAfter && report.KnowsPermits && !report.Stopping && !report.Stopped {
			names = append(names, name)
		}
	}
	return names
}

// PermitShare returns the share of the hosts that this one hears and that know permits, this one included. Those that
// have stopped are no part of them.
func (mesh *Mesh) PermitShare() float64 {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	hosts, heard := len(mesh.peers)+1, 1
	for _, received := range mesh.reports {
		switch {
		case received.Report.Stopped:
			hosts--
		case received.Report.KnowsPermits && now.Sub(received.ReceivedAt) <= staleAfter:
			heard++
		}
	}
	return float64(heard) / float64(max(hosts, heard))
}

// isPeer reports whether a message's sender is the present incarnation of a known host.
func (mesh *Mesh) isPeer(name, incarnation string) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, known := mesh.peers[name]
	return known && peer.Incarnation == incarnation
}
