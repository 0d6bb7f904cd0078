// Package remote speaks to the outside systems over HTTP: the platform's log,
// the platform's list of hosts, and the upstreams' control endpoints. The
// protocols are written down in docs/PROTOCOLS.md.
package remote
