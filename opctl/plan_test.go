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

var _ = Describe("a plan for a keyed service", func() {
	const before, after = "10.0.0.1:80", "10.0.0.2:80"

	plan := func(checksFences bool, name, address string) error {
		state := fold.NewState()
		state.Nodes = nodes(checksFences, "a", before)
		_, err := opctl.MakePlan(state, nodes(checksFences, name, address))
		return err
	}

	// Guards against two processes that write one key: an upstream without fence checks gets another address, and a
	// host that reads that late sends to the old process while others send to the new one. Leases refer to the
	// upstream by its name, so that they do not prevent it.
	It("rejects another address for an upstream without fence checks that keeps its name", func() {
		Expect(plan(false, "a", after)).To(MatchError(ContainSubstring("under another name")))
	})

	It("allows replacing such an upstream by one with another name", func() {
		Expect(plan(false, "b", after)).To(Succeed())
	})

	It("allows another address for an upstream with fence checks", func() {
		Expect(plan(true, "a", after)).To(Succeed())
	})
})
