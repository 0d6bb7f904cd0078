// Package entry assembles an entry host on a platform that keeps settings and
// tables in its store: it follows the store, talks to the other hosts, keeps key
// spans when that is its turn, and relays callers' requests.
//
// Lock order: Host.passing, usable.mutex, Host.mutex.
package entry
