package route

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// RequestParts are the parts of a request that may contain a key.
type RequestParts struct {
	// Path is the path, without the query.
	Path string
	// Query holds the parameters of the query.
	Query url.Values
	// Header returns the value of a header, or an empty string.
	Header func(name string) string
}

// Key returns the key of a request, or an empty string if it has none. The source is "header:NAME", "query:NAME", or
// "path:N" for the Nth segment of the path after the prefix, from 1.
func Key(source, prefix string, parts RequestParts) string {
	kind, name, _ := strings.Cut(source, ":")
	switch kind {
	case "header":
		return parts.Header(name)
	case "query":
		return parts.Query.Get(name)
	case "path":
		return segment(strings.TrimPrefix(parts.Path, prefix), name)
	default:
		return ""
	}
}

// segment returns the path segment with the given number, from 1, or an empty string if there is none.
func segment(path, name string) string {
	number, err := strconv.Atoi(name)
	if err != nil {
		return ""
	}
	segments := strings.Split(strings.Trim(path, "/"), "/")
	if number < 1 || number > len(segments) {
		return ""
	}
	return segments[number-1]
}

// Partition returns the partition of a key, from 0 to partitions-1.
func Partition(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}
