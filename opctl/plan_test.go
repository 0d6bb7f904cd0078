package opctl_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/fold"
	"cherrykeel/opctl"
	"cherrykeel/tree"
)

func TestOpctl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "opctl")
}

func nodes(checksFences bool, name, address string) tree.Nodes {
	return tree.Nodes{
		"":     {Fields: map[string]any{}},
		"test": {Path: "test", Fields: map[string]any{"Domains": []any{"a.example"}}},
		"test/keys": {Path: "test/keys", Fields: map[string]any{
			"PathPrefix": "/keys", "Keyed": true, "KeyFrom": "header:X-Key", "ChecksFences": checksFences, "Partitions": int64(16),
			"Upstreams": []any{map[string]any{"Name": name, "Address": address, "Zone": "zone"}},
		}},
	}
}

var _ = Describe("a plan for a service that holds keys", func() {
	const before, after = "10.0.0.1:80", "10.0.0.2:80"

	plan := func(checksFences bool, name, address string) error {
		state := fold.NewState()
		state.Nodes = nodes(checksFences, "a", before)
		_, err := opctl.MakePlan(state, nodes(checksFences, name, address))
		return err
	}

	// The caller's key is written by two processes. An operator gives an upstream that checks no fences another
	// address; a host that reads that late sends to the old process what others send to the new one, under
	// one name, so that no lease on sending tells them apart.
	It("does not give an upstream that checks no fences another address under its name", func() {
		Expect(plan(false, "a", after)).To(MatchError(ContainSubstring("under another name")))
	})

	It("may replace it by one of another name", func() {
		Expect(plan(false, "b", after)).To(Succeed())
	})

	It("may give one that checks fences another address", func() {
		Expect(plan(true, "a", after)).To(Succeed())
	})
})
