package relay

import (
	"net"
	"sort"
	"strings"
	"sync"

	"cherrykeel"
)

// matcher finds the route of a request in one version of the routes.
type matcher struct {
	version int64
	domains map[string][]*weightedRoute
}

// dealt is a route with the state by which its requests are dealt to its parts.
type weightedRoute struct {
	cherrykeel.Route
	mutex  sync.Mutex
	credit []float64
}

func newMatcher(routes cherrykeel.RouteSet) *matcher {
	matcher := &matcher{version: routes.Version, domains: map[string][]*weightedRoute{}}
	for _, route := range routes.Routes {
		domain := strings.ToLower(route.Domain)
		matcher.domains[domain] = append(matcher.domains[domain], &weightedRoute{Route: route, credit: make([]float64, len(route.SplitTargets))})
	}
	for _, list := range matcher.domains {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return matcher
}

// find returns the route with the longest prefix of the path, or nil.
func (matcher *matcher) findRoute(domain, path string) *weightedRoute {
	host, _, err := net.SplitHostPort(domain)
	if err == nil {
		domain = host
	}
	for _, route := range matcher.domains[strings.ToLower(domain)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// deal returns the next part's service. Each part gains its weight in credit with each request, and the
// richest is chosen and pays: over any run of requests the shares differ from the weights by one request.
func (weightedRoute *weightedRoute) nextService() string {
	if len(weightedRoute.SplitTargets) == 1 {
		return weightedRoute.SplitTargets[0].Service
	}
	weightedRoute.mutex.Lock()
	defer weightedRoute.mutex.Unlock()
	best := 0
	total := 0.0
	for i, target := range weightedRoute.SplitTargets {
		weightedRoute.credit[i] += target.Weight
		total += target.Weight
		if weightedRoute.credit[i] > weightedRoute.credit[best] {
			best = i
		}
	}
	weightedRoute.credit[best] -= total
	return weightedRoute.SplitTargets[best].Service
}
