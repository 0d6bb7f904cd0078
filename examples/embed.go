package examples

import "embed"

// Trees holds the example trees, one directory each.
//
//go:embed hanbit huon
var Trees embed.FS
