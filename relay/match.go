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
	domains map[string][]*dealt
}

// dealt is a route with the state by which its requests are dealt to its parts.
type dealt struct {
	cherrykeel.Route
	mutex  sync.Mutex
	credit []float64
}

func newMatcher(routes cherrykeel.RouteSet) *matcher {
	matcher := &matcher{version: routes.Version, domains: map[string][]*dealt{}}
	for _, route := range routes.Routes {
		domain := strings.ToLower(route.Domain)
		matcher.domains[domain] = append(matcher.domains[domain], &dealt{Route: route, credit: make([]float64, len(route.SplitTargets))})
	}
	for _, list := range matcher.domains {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return matcher
}

// find returns the route with the longest prefix of the path, or nil.
func (matcher *matcher) find(domain, path string) *dealt {
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
func (dealt *dealt) deal() string {
	if len(dealt.SplitTargets) == 1 {
		return dealt.SplitTargets[0].Service
	}
	dealt.mutex.Lock()
	defer dealt.mutex.Unlock()
	best := 0
	total := 0.0
	for i, part := range dealt.SplitTargets {
		dealt.credit[i] += part.Weight
		total += part.Weight
		if dealt.credit[i] > dealt.credit[best] {
			best = i
		}
	}
	dealt.credit[best] -= total
	return dealt.SplitTargets[best].Service
}
