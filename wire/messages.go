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

// Hello tells a peer how its sender fares, about once a second.
type Hello struct {
	Host    string
	Zone    string
	Leaving bool
	Next    int64
	Chain   uint64
	// Version is the settings version in force on the sender.
	Version int64
	LogUp   bool
	// Unreachable are upstreams, as service and name, that the sender's own requests could not reach of late.
	Unreachable []string
	// Refusing are upstreams that told the sender that they take no new work.
	Refusing []string
	// Demands are the requests a second by service, sent to the service's keeper only.
	Demands map[string]cherrykeel.Demand
}

// HelloReply tells the sender of a Hello about its receiver.
type HelloReply struct {
	Host  string
	Next  int64
	Chain uint64
}

// Confirm asks a witness whether terms are the newest that it knows.
type Confirm struct {
	Terms map[string]int64
}

// ConfirmReply names the services whose terms are.
type ConfirmReply struct {
	Confirmed []string
}

// AnnounceTerm tells a witness a service's new term.
type AnnounceTerm struct {
	Service string
	Term    int64
}

// Silence asks a witness how long a service's keeper has not asked it.
type Silence struct {
	Service string
}

// SilenceReply is the answer to Silence.
type SilenceReply struct {
	Silence time.Duration
}

// Overlay carries a placement that the log does not hold yet.
type Overlay struct {
	keeper.Overlay
}

// ForwardGrant asks a peer to pass a grant, or a question, on to an upstream.
type ForwardGrant struct {
	Address string
	Query   bool
	Grant   cherrykeel.Grant
}

// ViewGrant gives a host a lease on sending to upstreams that do not check fences.
type ViewGrant struct {
	Query bool
	Grant cherrykeel.Grant
}

// Fetch asks for the log's records from an offset on.
type Fetch struct {
	From int64
}

// FetchReply is the answer to Fetch.
type FetchReply struct {
	follow.MissingRecords
}

// Slots asks a steward for parts of upstreams' slots, by service and upstream.
type Slots struct {
	Host     string
	Requests map[string]map[string]admit.SlotRequest
}

// SlotsReply gives the parts; they may be used for Length from when they were asked for.
type SlotsReply struct {
	Granted map[string]map[string]int
	Length  time.Duration
}

// SuspectedRequests tells of requests that were at work when upstreams ended, while the log that says so is out.
type SuspectedRequests struct {
	Requests []fold.SuspectedRequest
}

// EmptyReply is the answer of methods that return nothing.
type EmptyReply struct{}
