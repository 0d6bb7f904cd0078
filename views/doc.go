// Package views keeps an entry host's leases on sending to services whose upstreams do not check fences: requests for
// which keys the host may send to which upstream, and until when. The package is pure: callers pass the time in.
package views
