// Package drain stops an HTTP server so that each request on an accepted connection is answered, or its caller learns that
// it was not read.
//
// Lock order: Server.mutex, conn.closeMutex, sock.Reader.mutex.
package drain
