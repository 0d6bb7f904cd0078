// Package deny keeps a host's list of requests that end the upstreams that run them. It takes what the host's
// attempts show and asks an upstream's address whether a process still listens there.
//
// Lock order: List.mutex is taken alone; nothing is called while it is held.
package deny
