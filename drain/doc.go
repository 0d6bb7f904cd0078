// Package drain stops an HTTP server so that each request on an accepted
// connection is answered.
//
// Lock order: Server.mutex, conn.ending, sock.Intake's.
package drain
