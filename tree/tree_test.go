package tree_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/fstest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"cherrykeel/tree"
)

func TestTree(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tree")
}

// Each case is a text file in testdata/trees. It holds the files of a tree, each after a line "-- NAME --". The case's
// golden file holds the problems that are reported to an operator.
var _ = Describe("checking a tree", func() {
	cases, _ := filepath.Glob("testdata/trees/*.txt")
	for _, file := range cases {
		It("reports the problems in "+filepath.Base(file), func() {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			shown := "right\n"
			_, err = tree.LoadFS(unpack(string(text)), "tree")
			if err != nil {
				shown = err.Error() + "\n"
			}
			golden := goldie.New(GinkgoTB(), goldie.WithFixtureDir("testdata/trees"))
			golden.Assert(GinkgoTB(), strings.TrimSuffix(filepath.Base(file), ".txt"), []byte(shown))
		})
	}
})

func unpack(text string) fstest.MapFS {
	files := fstest.MapFS{}
	for _, part := range strings.Split("\n"+text, "\n-- ")[1:] {
		name, body, _ := strings.Cut(part, " --\n")
		files[name] = &fstest.MapFile{Data: []byte(body + "\n")}
	}
	return files
}

var _ = Describe("inheritance", func() {
	nodes := tree.Nodes{
		"":            {Version: 3, Fields: map[string]any{"Timeout": "7s", "Priority": float64(4)}},
		"hanbit":      {Path: "hanbit", Version: 5, Fields: map[string]any{"Domains": []any{"a.example"}, "Slots": int64(3)}},
		"hanbit/hold": {Path: "hanbit/hold", Version: 4, Fields: map[string]any{"PathPrefix": "/hold", "Priority": int64(2)}},
	}

	It("uses the value of the nearest level that sets a field", func() {
		service, err := tree.Resolve(nodes, "hanbit/hold")
		Expect(err).NotTo(HaveOccurred())
		Expect(service.Timeout.Seconds()).To(Equal(7.0))
		Expect(service.Slots).To(Equal(3))
		Expect(service.Priority).To(Equal(2))
		Expect(service.Connections).To(Equal(100))
		Expect(service.Version).To(Equal(int64(5)))
	})

	It("explains where a value is set", func() {
		source, err := tree.Explain(nodes, "hanbit/hold", "Timeout")
		Expect(err).NotTo(HaveOccurred())
		Expect(source).To(Equal(tree.Source{Field: "Timeout", Value: "7s", Path: ""}))
		_, err = tree.Explain(nodes, "hanbit/hold", "timeout")
		Expect(err).To(MatchError(ContainSubstring("did you mean Timeout?")))
	})

	It("returns only the edits that turn one tree into another", func() {
		wanted := tree.Nodes{"": nodes[""], "hanbit": {Path: "hanbit", Fields: map[string]any{"Slots": int64(6)}}}
		Expect(tree.Diff(nodes, wanted)).To(Equal([]tree.Edit{
			{Path: "hanbit", Base: 5, Fields: map[string]any{"Slots": int64(6)}},
			{Path: "hanbit/hold", Base: 4, Removed: true},
		}))
	})
})
