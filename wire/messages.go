package wire

import (
	"time"

	"cherrykeel"
	"cherrykeel/admit"
	"cherrykeel/fold"
	"cherrykeel/follow"
	"cherrykeel/keeper"
)

// The methods of the inner protocol.
const (
	MethodHello             = "Host.Hello"
	MethodConfirm           = "Keeper.Confirm"
	MethodAnnounceTerm      = "Keeper.Teach"
	MethodSilence           = "Keeper.Silence"
	MethodOverlay           = "Keeper.Overlay"
	MethodForwardGrant      = "Grant.Relay"
	MethodViewGrant         = "Grant.View"
	MethodFetch             = "Log.Fetch"
	MethodSlots             = "Slots.Ask"
	MethodSuspectedRequests = "Requests.Denied"
)

// Hello reports its sender's state to a peer, about once a second.
type Hello struct {
	Host string
	Zone string
	// Leaving is true while the sender shuts down.
	Leaving bool
	// Next and Chain are those of the sender's state in package fold.
	Next  int64
	Chain uint64
	// Version is the settings version in force on the sender.
	Version int64
	// LogUp is false while the log is unavailable to the sender.
	LogUp bool
	// Unreachable are the upstreams, as service and name, that the sender's own requests could not reach recently.
	Unreachable []string
	// Refusing are the upstreams that announced to the sender that they accept no new requests.
	Refusing []string
	// Demands are the sender's requests per second by service; each is sent to the service's keeper only.
	Demands map[string]cherrykeel.Demand
}

// HelloReply reports to the sender of a Hello how far its receiver has folded the log.
type HelloReply struct {
	Host  string
	Next  int64
	Chain uint64
}

// Confirm requests a witness to confirm that terms, by service, are the newest that it has recorded.
type Confirm struct {
	Terms map[string]int64
}

// ConfirmReply names the services whose terms the witness confirms.
type ConfirmReply struct {
	Confirmed []string
}

// AnnounceTerm announces a service's new term to a witness.
type AnnounceTerm struct {
	Service string
	Term    int64
}

// Silence requests from a witness the time since a service's keeper last sent it a request.
type Silence struct {
	Service string
}

// SilenceReply is the reply to Silence.
type SilenceReply struct {
	Silence time.Duration
}

// Overlay announces a placement that is not in the log yet.
type Overlay struct {
	keeper.Overlay
}

// ForwardGrant requests a peer to pass a grant on to the upstream at an address. If Query is set, the peer requests the
// upstream's holding instead.
type ForwardGrant struct {
	Address string
	Query   bool `json:"Ask"`
	Grant   cherrykeel.Grant
}

// ViewGrant grants a host a lease on sending requests to upstreams that do not check fences. If Query is set, it
// requests the host's holding instead.
type ViewGrant struct {
	Query bool `json:"Ask"`
	Grant cherrykeel.Grant
}

// Fetch requests the log's records from an offset on.
type Fetch struct {
	From int64
}

// FetchReply is the reply to Fetch.
type FetchReply struct {
	follow.MissingRecords
}

// Slots requests slots of upstreams, by service and upstream, from the host that divides them among all hosts.
type Slots struct {
	Host     string
	Requests map[string]map[string]admit.SlotRequest `json:"Wants"`
}

// SlotsReply grants slots by service and upstream. They may be used for Length, counted from when they were requested.
type SlotsReply struct {
	Granted map[string]map[string]int
	Length  time.Duration
}

// SuspectedRequests reports requests that were running when upstreams crashed, while the log, which normally carries
// these reports, is unavailable.
type SuspectedRequests struct {
	Requests []fold.SuspectedRequest `json:"Denials"`
}

// EmptyReply is the reply of methods that return nothing.
type EmptyReply struct{}
