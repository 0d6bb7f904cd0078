package keeper

import (
	"cherrykeel"
	"cherrykeel/fold"
	"cherrykeel/lease"
)

// Host is an entry host as the membership sees it.
type Host struct {
	Name    string
	Zone    string
	Leaving bool
}

// Input is all that a decision rests on.
type Input struct {
	Now     cherrykeel.Instant
	Block   fold.Block
	Service *cherrykeel.Service
	// Hosts are the entry hosts on the platform's list, this one included.
	Hosts []Host
	// RemovedHosts are hosts that have been off the list for long.
	RemovedHosts map[string]bool
	// Leaving says that this host is about to stop.
	Leaving bool
	// Draining are upstreams that must get no new work.
	Draining map[string]bool
	// Unreachable are upstreams that most hosts cannot reach; it counts where leases do not tell.
	Unreachable map[string]bool
	// Refusing are upstreams that have said themselves, of late, that they take no new work.
	Refusing map[string]bool
	Demand   cherrykeel.Demand
	// ClaimedTerm is the term that this very process claimed, or 0.
	ClaimedTerm int64
}

// TermNotice asks a witness of an earlier term to learn the new one.
type TermNotice struct {
	Host string
	// EarlierTerm is the term whose witness the host was.
	EarlierTerm int64
	Term        int64
}

// Overlay is a placement in force that the log does not hold yet.
type Overlay struct {
	Service   string
	Term      int64
	Base      int64
	Placement cherrykeel.Placement
}

// Actions are what a decision wants done.
type Actions struct {
	Orders []lease.Order
	// RequestConfirmation are witnesses to ask whether the term is still the newest.
	RequestConfirmation []string
	TermNotices         []TermNotice
	// RequestSilence are fellow witnesses to ask how long the keeper has been silent.
	RequestSilence []string
	Claim          *fold.Claim
	Assign         *fold.Assign
	// Overlay is sent to all entry hosts.
	Overlay *Overlay
}
