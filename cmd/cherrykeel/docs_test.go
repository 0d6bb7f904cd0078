package main

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/config"
	"cherrykeel/events"
	"cherrykeel/tree"
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "docs")
}

func readDocument(name string) string {
	text, err := os.ReadFile("../../docs/" + name)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("the documents", func() {
	It("list each event with its number, level and text, and no other", func() {
		text := readDocument("EVENTS.md")
		rows := 0
		for _, event := range events.All {
			Expect(text).To(ContainSubstring(fmt.Sprintf("| %d | %s | %s |", event.Number, event.Level, event.Text)))
			rows++
		}
		Expect(strings.Count(text, "\n| ")).To(Equal(rows + 2))
	})

	It("do not list events that no program logs", func() {
		source, err := os.ReadFile("../../events/events.go")
		Expect(err).NotTo(HaveOccurred())
		used := ""
		for _, pattern := range []string{
			"../../host/*.go", "../../edge/*.go", "../../caller/*.go", "../../relay/*.go", "../../watch/*.go",
			"../../share/*.go", "../../tunnel/*.go", "../../grants/*.go", "../../entry/*.go", "../../deny/*.go", "../../cmd/cherrykeel/*.go",
		} {
			files, _ := filepath.Glob(pattern)
			for _, file := range files {
				text, err := os.ReadFile(file)
				Expect(err).NotTo(HaveOccurred())
				used += string(text)
			}
		}
		sink, err := os.ReadFile("../../events/sink.go")
		Expect(err).NotTo(HaveOccurred())
		// The sink logs its own dropped lines, since a logger on top of it could drop that line too.
		used += strings.ReplaceAll(string(sink), " LinesDropped.", " events.LinesDropped.")
		names := regexp.MustCompile(`(?m)^\s+(\w+)\s+= define`).FindAllStringSubmatch(string(source), -1)
		Expect(names).To(HaveLen(len(events.All)))
		for _, name := range names {
			Expect(used).To(ContainSubstring("events." + name[1]))
		}
	})

	It("list each setting with its type, unit, default, range and levels", func() {
		text := readDocument("SETTINGS.md")
		for _, field := range tree.Fields {
			Expect(text).To(ContainSubstring(field.Row()))
		}
	})

	It("list each field of a host's configuration", func() {
		text := readDocument("SETTINGS.md")
		kind := reflect.TypeOf(config.Config{})
		for i := range kind.NumField() {
			Expect(text).To(ContainSubstring("| " + kind.Field(i).Name + " |"))
		}
	})
})
