// Package entry assembles an entry host on a platform whose store holds settings and tables: the host follows the
// store, exchanges messages with the other hosts, keeps key spans when that is its turn, and relays callers' requests.
//
// Lock order: Host.peersMutex, upstreamList.mutex, Host.mutex.
package entry
