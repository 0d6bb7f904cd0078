package route

import (
	"sort"
	"strings"

	"cherrykeel"
)

// Table finds services by domain and path. It does not change after it was built.
type Table struct {
	// byDomain holds the services of each domain, longest path prefix first.
	byDomain map[string][]*cherrykeel.Service
	services map[string]*cherrykeel.Service
}

// NewTable returns a table of the given services.
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

// Services returns all services by their paths in the settings tree.
func (table *Table) Services() map[string]*cherrykeel.Service {
	return table.services
}

// HasTeam reports whether the host name is a domain of any team.
func (table *Table) HasTeam(host string) bool {
	return len(table.byDomain[normalizeDomain(host)]) > 0
}

// Match returns the service with the longest path prefix that matches, or nil.
func (table *Table) Match(host, path string) *cherrykeel.Service {
	for _, service := range table.byDomain[normalizeDomain(host)] {
		if isPathPrefix(path, service.PathPrefix) {
			return service
		}
	}
	return nil
}

// isPathPrefix reports whether the prefix ends at a segment of the path: "/halls" is a prefix of "/halls/7" but not of
// "/hallsofar".
func isPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// normalizeDomain returns a host name in lower case, without port and final dot. Domains of teams are names, never IPv6
// addresses.
func normalizeDomain(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}
