// Package deny keeps a host's list of suspected and denied requests, which crash the upstreams that run them. It records
// the results of the host's attempts in package poison's tables, and probes an upstream's address to find out whether a
// process still listens there.
//
// Lock order: List.mutex is never held together with another lock, and no callback of Settings is called while it is
// held.
package deny
