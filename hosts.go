package cherrykeel

import "context"

// Role says what a member of the platform's list does.
type Role string

// The roles that the platform's list knows.
const (
	RoleEntry    Role = "Entry"
	RoleUpstream Role = "Upstream"
)

// Member is one line of the platform's list of live and leaving hosts.
type Member struct {
	Name    string
	Role    Role
	Zone    string
	Leaving bool
	// Address takes callers' requests, as IP and port.
	Address string
	// InternalAddress takes the inner protocol of entry hosts, as IP and port.
	InternalAddress string `json:"Inner"`
	// AdminAddress takes operators' requests to entry hosts, as IP and port.
	AdminAddress string `json:"Admin"`
}

// HostList is the platform's list, which lags behind the truth by seconds.
type HostList interface {
	// Members returns the whole list as the platform sees it now.
	Members(ctx context.Context) ([]Member, error)
	// Announce adds or replaces this host's own line.
	Announce(ctx context.Context, member Member) error
}
