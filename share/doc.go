// Package share tells the other hosts what this one does, and keeps what they
// tell: requests at each upstream, requests waiting, and the newest term known.
// Messages are JSON-RPC notifications in datagrams: a lost one is replaced by
// the next within a fraction of a second.
//
// Lock order: Mesh.mutex is taken alone.
package share
