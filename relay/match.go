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

// weightedRoute is a route with the state that spreads its requests over its split targets by weight.
type weightedRoute struct {
	cherrykeel.Route
	mutex sync.Mutex
	// credit is how far each split target is behind its share of the requests.
	credit []float64
}

// newMatcher returns a matcher of one version of the routes.
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

// findRoute returns the domain's route with the longest matching path prefix, or nil.
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

// nextService returns the service of the next request's split target. With each request every target's credit grows by
// its weight, and the target with the most credit gets the request and pays the total weight. Over any run of requests
// the shares differ from the weights by at most one request.
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
