// Package sock queries and sets what the net package does not offer for sockets: whether bytes have arrived that are
// still unread, whether sent bytes are unacknowledged, and that a listening socket refuses new connections.
//
// Lock order: Reader.mutex is taken last.
package sock
