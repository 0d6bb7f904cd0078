// Package remote implements the HTTP clients of the outside systems: the platform's log, the platform's list of hosts,
// and the upstreams' control endpoints. docs/PROTOCOLS.md describes the protocols.
package remote
