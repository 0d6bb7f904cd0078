// Package entry assembles an entry host on a platform whose store holds settings and tables: the host follows the
// store, exchanges messages with the other hosts, grants key spans while it is the keeper, and relays callers'
// requests.
//
// Lock order: Host.peersMutex, upstreamList.mutex, rateLimits.mutex, Host.mutex.
package entry
