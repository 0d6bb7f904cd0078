package tree

import (
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/pkg/errors"

	"cherrykeel"
)

const (
	firmFile       = "firm.toml"
	teamFile       = "team.toml"
	settingsSuffix = ".toml"
)

// LoadDir reads and checks a whole tree from a directory. If the tree is invalid, the error is an InvalidError.
func LoadDir(dir string) (Nodes, error) {
	_, err := os.Stat(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return LoadFS(os.DirFS(dir), dir)
}

// LoadFS reads and checks a whole tree from a file system; name is what problems call its root. If the tree is invalid,
// the error is an InvalidError.
func LoadFS(files fs.FS, name string) (Nodes, error) {
	list, err := listFiles(files)
	if err != nil {
		return nil, err
	}
	if len(list) == 0 {
		return nil, &InvalidError{Problems: []Problem{{File: name, Text: "holds no settings; it needs firm.toml and TEAM/SERVICE.toml"}}}
	}
	nodes := Nodes{}
	var problems []Problem
	for _, file := range list {
		path, valid := pathOf(file)
		if !valid {
			problems = append(problems, Problem{File: file, Text: "is not firm.toml, TEAM/team.toml or TEAM/SERVICE.toml"})
			continue
		}
		data, err := fs.ReadFile(files, file)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		fields, found := Parse(file, LevelOf(path), data)
		problems = append(problems, found...)
		nodes[path] = Node{Path: path, Fields: fields}
	}
	if len(problems) == 0 {
		problems = Check(nodes)
	}
	return nodes, invalidOrNil(problems)
}

func listFiles(files fs.FS) ([]string, error) {
	var list []string
	err := fs.WalkDir(files, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && strings.HasSuffix(path, settingsSuffix) {
			list = append(list, path)
		}
		return nil
	})
	return list, errors.WithStack(err)
}

// pathOf returns the path of the node that a file holds, and false if no node is kept in a file of this name.
func pathOf(file string) (string, bool) {
	if file == firmFile {
		return "", true
	}
	dir, name, found := strings.Cut(file, "/")
	if !found || strings.Contains(name, "/") {
		return "", false
	}
	if name == teamFile {
		return dir, true
	}
	return dir + "/" + strings.TrimSuffix(name, settingsSuffix), true
}

// fileOf returns the file that holds the node at a path.
func fileOf(path string) string {
	switch LevelOf(path) {
	case LevelFirm:
		return firmFile
	case LevelTeam:
		return path + "/" + teamFile
	default:
		return path + settingsSuffix
	}
}

// Check returns the problems that the check of single fields cannot find, such as missing files and fields, and values
// that contradict others or are used twice.
func Check(nodes Nodes) []Problem {
	var problems []Problem
	if _, exists := nodes[""]; !exists {
		problems = append(problems, Problem{File: firmFile, Text: "is missing"})
	}
	domains := map[string]string{}
	prefixes := map[string]string{}
	for _, path := range sortedNames(nodes) {
		switch LevelOf(path) {
		case LevelTeam:
			problems = append(problems, checkTeam(nodes, path, domains)...)
		case LevelService:
			problems = append(problems, checkService(nodes, path, prefixes)...)
		}
	}
	return problems
}

func checkTeam(nodes Nodes, path string, domains map[string]string) []Problem {
	names := asTexts(nodes[path].Fields["Domains"])
	if len(names) == 0 {
		return []Problem{{File: fileOf(path), Field: "Domains", Text: "must name at least one host"}}
	}
	var problems []Problem
	for _, name := range names {
		if other, exists := domains[name]; exists {
			problems = append(problems, Problem{File: fileOf(path), Field: "Domains", Text: fmt.Sprintf("%s belongs to %s already", name, other)})
		}
		domains[name] = path
	}
	return problems
}

func checkService(nodes Nodes, path string, prefixes map[string]string) []Problem {
	if _, exists := nodes[Parent(path)]; !exists {
		return []Problem{{File: fileOf(path), Text: "has no " + fileOf(Parent(path)) + " beside it"}}
	}
	service, err := Resolve(nodes, path)
	if err != nil {
		return []Problem{{File: fileOf(path), Text: err.Error()}}
	}
	problem := func(field, format string, arguments ...any) Problem {
		return Problem{File: fileOf(path), Field: field, Text: fmt.Sprintf(format, arguments...)}
	}
	var problems []Problem
	if service.PathPrefix == "" {
		problems = append(problems, problem("PathPrefix", "must be set"))
	}
	if len(service.Upstreams) == 0 {
		problems = append(problems, problem("Upstreams", "must name at least one server"))
	}
	if service.Keyed && service.KeyFrom == "" {
		problems = append(problems, problem("KeyFrom", "must be set, since Keyed is true"))
	}
	if service.Keyed && service.Partitions < 8*len(service.Upstreams) {
		problems = append(problems, problem("Partitions", "is %d, must be at least 8 for each of the %d upstreams", service.Partitions, len(service.Upstreams)))
	}
	for _, name := range service.Drain {
		if !hasServer(service.Upstreams, name) {
			problems = append(problems, problem("Drain", "names %q, which is not among Upstreams", name))
		}
	}
	prefix := Parent(path) + " " + service.PathPrefix
	if other, exists := prefixes[prefix]; exists {
		problems = append(problems, problem("PathPrefix", "%s belongs to %s already", service.PathPrefix, other))
	}
	prefixes[prefix] = path
	return problems
}

func hasServer(servers []cherrykeel.UpstreamServer, name string) bool {
	for _, server := range servers {
		if server.Name == name {
			return true
		}
	}
	return false
}
