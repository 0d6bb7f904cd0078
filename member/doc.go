// Package member decides which entry hosts and upstreams are there, from the
// platform's lagging list, what peers say, and this host's own traffic, none
// of them believed alone. It is pure.
package member
