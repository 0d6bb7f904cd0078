package route

import (
	"sort"
	"strings"

	"cherrykeel"
)

// Table finds services by host name and path; it never changes once built.
type Table struct {
	byDomain map[string][]*cherrykeel.Service
	services map[string]*cherrykeel.Service
}

// NewTable returns the table for the services in force.
func NewTable(services []*cherrykeel.Service) *Table {
	table := &Table{byDomain: map[string][]*cherrykeel.Service{}, services: map[string]*cherrykeel.Service{}}
	for _, service := range services {
		table.services[service.Path] = service
		for _, domain := range service.Domains {
			table.byDomain[domain] = append(table.byDomain[domain], service)
		}
	}
	for _, list := range table.byDomain {
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
	return len(table.byDomain[normalizeDomain(host)]) > 0
}

// Match returns the service with the longest prefix of the path, or nil.
func (table *Table) Match(host, path string) *cherrykeel.Service {
	for _, service := range table.byDomain[normalizeDomain(host)] {
		if isPathPrefix(path, service.PathPrefix) {
			return service
		}
	}
	return nil
}

// isPathPrefix takes "/halls" as a prefix of "/halls/7" but not of "/hallsofar".
func isPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// normalizeDomain drops the port; teams' domains are names, never IPv6 addresses.
func normalizeDomain(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}
