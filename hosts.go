package cherrykeel

import "context"

// Role is the kind of a member of the platform's host list.
type Role string

// The roles in the platform's host list.
const (
	RoleEntry    Role = "Entry"
	RoleUpstream Role = "Upstream"
)

// Member is one entry of the platform's list of running and leaving hosts.
type Member struct {
	Name    string
	Role    Role
	Zone    string
	Leaving bool
	// Address receives requests, as IP and port.
	Address string
	// InternalAddress receives the internal protocol between entry hosts, as IP and port.
	InternalAddress string `json:"Inner"`
	// AdminAddress receives operators' requests to entry hosts, as IP and port.
	AdminAddress string `json:"Admin"`
}

// HostList is the platform's list of hosts, which may be out of date by seconds.
type HostList interface {
	// Members returns the whole list in its present state.
	Members(ctx context.Context) ([]Member, error)
	// Announce adds or replaces this host's own entry.
	Announce(ctx context.Context, member Member) error
}
