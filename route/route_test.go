package route_test

import (
	"net/url"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

// searchAll checks every service and returns the one with the longest prefix that ends at a slash.
func searchAll(services []*cherrykeel.Service, host, path string) string {
	best, found := "", ""
	for _, service := range services {
		for _, domain := range service.Domains {
			whole := path + "/"
			prefix := strings.TrimSuffix(service.PathPrefix, "/") + "/"
			if strings.EqualFold(host, domain) && strings.HasPrefix(whole, prefix) && len(prefix) > len(best) {
				best, found = prefix, service.Path
			}
		}
	}
	return found
}

var _ = Describe("the route table", func() {
	It("agrees with a linear search", func() {
		prefixes := []string{"/", "/a", "/a/b", "/ab", "/a/b/c"}
		paths := []string{"/", "/a", "/ab", "/a/b", "/a/bc", "/a/b/c/d", "/x"}
		hosts := []string{"one.example", "two.example", "ONE.example"}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var services []*cherrykeel.Service
			for _, domain := range hosts[:2] {
				for _, prefix := range rapid.SliceOfDistinct(rapid.SampledFrom(prefixes), rapid.ID).Draw(t, "prefixes") {
					services = append(services, &cherrykeel.Service{Path: domain + prefix, Domains: []string{domain}, PathPrefix: prefix})
				}
			}
			table := route.NewTable(services)
			host := rapid.SampledFrom(hosts).Draw(t, "host")
			path := rapid.SampledFrom(paths).Draw(t, "path")
			got := ""
			if service := table.Match(host+":8080", path); service != nil {
				got = service.Path
			}
			if want := searchAll(services, host, path); got != want {
				t.Fatalf("%s%s goes to %q, by linear search to %q", host, path, got, want)
			}
		})
	})

	DescribeTable("finds keys", func(source, key string) {
		parts := route.RequestParts{
			Path:   "/halls/seoul/7",
			Query:  url.Values{"hall": {"9"}},
			Header: func(name string) string { return map[string]string{"X-Hall": "8"}[name] },
		}
		Expect(route.Key(source, "/halls", parts)).To(Equal(key))
	},
		Entry(nil, "path:1", "seoul"), Entry(nil, "path:2", "7"), Entry(nil, "path:3", ""),
		Entry(nil, "query:hall", "9"), Entry(nil, "query:other", ""), Entry(nil, "header:X-Hall", "8"), Entry(nil, "", ""),
	)

	DescribeTable("reads priorities", func(header string, priority int) {
		Expect(route.Priority(5, header)).To(Equal(priority))
	},
		Entry(nil, "", 5), Entry(nil, "u=0", 1), Entry(nil, "i, u=7", 8), Entry(nil, "u=9", 5), Entry(nil, "u=x", 5), Entry(nil, "u=-1", 5),
	)
})

func FuzzKey(f *testing.F) {
	f.Add("path:1", "/a", "/a/b")
	f.Fuzz(func(_ *testing.T, source, prefix, path string) {
		route.Key(source, prefix, route.RequestParts{Path: path, Query: url.Values{}, Header: func(string) string { return "" }})
		route.Priority(1, path)
	})
}
