// Package share exchanges state between hosts: each host reports its requests at each upstream, its waiting requests
// and the newest term that it has read, and keeps the newest reports of the others. Messages are JSON-RPC notifications
// in datagrams. A lost message is replaced by the next one within a fraction of a second.
//
// Lock order: Mesh.mutex is taken alone.
package share
