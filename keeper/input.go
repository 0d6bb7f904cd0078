package keeper

import (
	"cherrykeel"
	"cherrykeel/fold"
	"cherrykeel/lease"
)

// Host is an entry host on the platform's list.
type Host struct {
	Name    string
	Zone    string
	Leaving bool
}

// Input is everything that a decision depends on.
type Input struct {
	Now cherrykeel.Instant
	// Ownership is the service's state in the log.
	Ownership fold.ServiceOwnership
	// Service holds the service's settings.
	Service *cherrykeel.Service
	// Hosts are the entry hosts on the platform's list, including this one.
	Hosts []Host
	// RemovedHosts are hosts that have been missing from the list for long.
	RemovedHosts map[string]bool
	// Leaving is true when this host is about to stop.
	Leaving bool
	// Draining are upstreams that must get no new work.
	Draining map[string]bool
	// Unreachable are upstreams that most hosts cannot reach. It is used only if upstreams do not check fences, since
	// their availability does not show from leases.
	Unreachable map[string]bool
	// Refusing are upstreams that have recently reported that they accept no new work.
	Refusing map[string]bool
	// Demand is the recent load of partitions and hot keys.
	Demand cherrykeel.Demand
	// ClaimedTerm is the term that this process itself claimed, or 0.
	ClaimedTerm int64
}

// TermNotice requests that a witness of an earlier term records the new one.
type TermNotice struct {
	Host string
	// EarlierTerm is the term whose witness the host was.
	EarlierTerm int64
	Term        int64
}

// Overlay is a placement that is in force before the log contains it.
type Overlay struct {
	Service string
	Term    int64
	// Base is the sequence of the placement in the log on which the overlay is based.
	Base      int64
	Placement cherrykeel.Placement
}

// Actions are the results of a decision, to be carried out by the caller.
type Actions struct {
	// Orders are messages to lessees.
	Orders []lease.Order
	// RequestConfirmation are the witnesses from which to request confirmation that the term is still the newest.
	RequestConfirmation []string
	// TermNotices are requests to witnesses of earlier terms.
	TermNotices []TermNotice
	// RequestSilence are the other witnesses from which to request how long they have received no request from the
	// keeper.
	RequestSilence []string
	// Claim and Assign are records to append to the log, or nil.
	Claim  *fold.Claim
	Assign *fold.Assign
	// Overlay is sent to all entry hosts.
	Overlay *Overlay
}
