package cherrykeel_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCherrykeel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cherrykeel")
}

// purePackages get time, randomness and input as arguments, so that tests can run them deterministically.
var purePackages = []string{"admit", "demand", "flow", "fold", "keeper", "lease", "member", "origin", "permit", "picker", "place", "poison", "reach", "retry", "route", "spans", "topo", "views"}

// impureImports are the imports with which a package could read a clock, wait, synchronize or do I/O.
var impureImports = []string{"context", "crypto/rand", "io", "math/rand", "math/rand/v2", "net", "net/http", "os", "sync"}

var _ = Describe("the pure packages", func() {
	for _, name := range purePackages {
		It("import nothing impure in "+name, func() {
			files, err := filepath.Glob(filepath.Join(name, "*.go"))
			Expect(err).NotTo(HaveOccurred())
			Expect(files).NotTo(BeEmpty())
			for _, file := range files {
				if !strings.HasSuffix(file, "_test.go") {
					Expect(importsOf(file)).NotTo(ContainElement(BeElementOf(impureImports)), file)
				}
			}
		})
		It("read no clock in "+name, func() {
			files, _ := filepath.Glob(filepath.Join(name, "*.go"))
			for _, file := range files {
				source, err := os.ReadFile(file)
				Expect(err).NotTo(HaveOccurred())
				if !strings.HasSuffix(file, "_test.go") {
					Expect(string(source)).NotTo(MatchRegexp(`time\.(Now|Since|Sleep|After|NewTimer)|\bgo func`), file)
				}
			}
		})
	}
})

func importsOf(file string) []string {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	Expect(err).NotTo(HaveOccurred())
	var paths []string
	for _, spec := range parsed.Imports {
		paths = append(paths, strings.Trim(spec.Path.Value, `"`))
	}
	return paths
}
