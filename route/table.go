package route

import (
	"sort"
	"strings"

	"cherrykeel"
)

// Table finds services by host name and path; it never changes once built.
type Table struct {
	teams    map[string][]*cherrykeel.Service
	services map[string]*cherrykeel.Service
}

// NewTable returns the table for the services in force.
func NewTable(services []*cherrykeel.Service) *Table {
	table := &Table{teams: map[string][]*cherrykeel.Service{}, services: map[string]*cherrykeel.Service{}}
	for _, service := range services {
		table.services[service.Path] = service
		for _, domain := range service.Domains {
			table.teams[domain] = append(table.teams[domain], service)
		}
	}
	for _, list := range table.teams {
		sort.SliceStable(list, func(i, j int) bool {
			return len(list[i].PathPrefix) > len(list[j].PathPrefix)
		})
	}
	return table
}

// Services returns all services by path.
func (table *Table) Services() map[string]*cherrykeel.Service {
	return table.services
}

// HasTeam reports whether a host name belongs to a team.
func (table *Table) HasTeam(host string) bool {
	return len(table.teams[domain(host)]) > 0
}

// Match returns the service with the longest prefix of the path, or nil.
func (table *Table) Match(host, path string) *cherrykeel.Service {
	for _, service := range table.teams[domain(host)] {
		if hasPrefix(path, service.PathPrefix) {
			return service
		}
	}
	return nil
}

// hasPrefix takes "/halls" as a prefix of "/halls/7" but not of "/hallsofar".
func hasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// domain drops the port; teams' domains are names, never IPv6 addresses.
func domain(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}
