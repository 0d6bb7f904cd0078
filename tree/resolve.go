package tree

import (
	"reflect"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
)

// ErrNoNode means that a path is not in the tree.
var ErrNoNode = errors.New("no such path in the settings tree")

// Source is the value of a field for one node and the node that sets it.
type Source struct {
	Field string
	Value any
	// Path is the node that sets the value. If none does, Default is true.
	Path    string
	Default bool
}

// Explain returns the value of a field for the node at path and where it is set. The error is ErrNoNode for an unknown
// path.
func Explain(nodes Nodes, path, name string) (Source, error) {
	field, exists := fieldsByName[name]
	if !exists {
		return Source{}, errors.Errorf("%s: %s", name, unknownField(name))
	}
	if _, exists := nodes[path]; !exists {
		return Source{}, errors.Wrap(ErrNoNode, path)
	}
	for current := path; ; current = Parent(current) {
		value, set := nodes[current].Fields[name]
		if set {
			return Source{Field: name, Value: value, Path: current}, nil
		}
		if current == "" {
			return Source{Field: name, Value: field.Default, Default: true}, nil
		}
	}
}

// Services returns the settings in force for every service, in order of path.
func Services(nodes Nodes) ([]*cherrykeel.Service, error) {
	var services []*cherrykeel.Service
	for _, path := range sortedNames(nodes) {
		if LevelOf(path) != LevelService {
			continue
		}
		service, err := Resolve(nodes, path)
		if err != nil {
			return nil, err
		}
		services = append(services, service)
	}
	return services, nil
}

// Resolve returns the settings in force for one service, or an error if a field has an invalid value.
func Resolve(nodes Nodes, path string) (*cherrykeel.Service, error) {
	service := &cherrykeel.Service{Path: path, Version: newestVersion(nodes, path)}
	target := reflect.ValueOf(service).Elem()
	for _, field := range Fields {
		source, err := Explain(nodes, path, field.Name)
		if err != nil {
			return nil, err
		}
		if source.Value == nil {
			continue
		}
		if text := field.checkUnlessDefault(source); text != "" {
			return nil, errors.Errorf("%s: %s %s", path, field.Name, text)
		}
		assign(target.FieldByName(field.Name), source.Value)
	}
	return service, nil
}

// newestVersion returns the newest version among a node and its parents.
func newestVersion(nodes Nodes, path string) int64 {
	version := int64(0)
	for current := path; ; current = Parent(current) {
		version = max(version, nodes[current].Version)
		if current == "" {
			return version
		}
	}
}

// checkUnlessDefault checks a value that a node sets. Defaults are Go values and need no check.
func (field Field) checkUnlessDefault(source Source) string {
	if source.Default {
		return ""
	}
	return field.check(source.Value)
}

// assign sets a field of a service to a value that the field's check has accepted.
func assign(target reflect.Value, value any) {
	switch pointer := target.Addr().Interface().(type) {
	case *time.Duration:
		*pointer = asDuration(value)
	case *int:
		*pointer, _ = asInt(value)
	case *float64:
		*pointer, _ = asFloat(value)
	case *bool:
		*pointer = value.(bool)
	case *[]string:
		*pointer = asTexts(value)
	case *[]cherrykeel.UpstreamServer:
		*pointer = asServers(value)
	default:
		target.SetString(asText(value))
	}
}

func asDuration(value any) time.Duration {
	if duration, ok := value.(time.Duration); ok {
		return duration
	}
	duration, _ := time.ParseDuration(asText(value))
	return duration
}

func asTexts(value any) []string {
	list, _ := value.([]any)
	texts := make([]string, 0, len(list))
	for _, entry := range list {
		texts = append(texts, asText(entry))
	}
	return texts
}

func asServers(value any) []cherrykeel.UpstreamServer {
	list, _ := value.([]any)
	servers := make([]cherrykeel.UpstreamServer, 0, len(list))
	for _, entry := range list {
		table, _ := entry.(map[string]any)
		servers = append(servers, cherrykeel.UpstreamServer{
			Name:    asText(table["Name"]),
			Address: asText(table["Address"]),
			Zone:    asText(table["Zone"]),
		})
	}
	return servers
}
