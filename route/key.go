package route

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// RequestParts are the places of a request in which a key may stand.
type RequestParts struct {
	Path   string
	Query  url.Values
	Header func(name string) string
}

// Key returns the key that source names, or an empty string if the request has none.
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

// Partition returns the part of the key space that a key hashes to, from 0 to partitions-1.
func Partition(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}
