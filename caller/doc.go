// Package caller serves callers' HTTP/1 connections on an entry host. It rejects requests that two parsers could read
// differently, cancels the requests of a caller that closes its connection, runs safe pipelined requests concurrently,
// and sends the answers in the order of the requests.
//
// Lock order: conn.mutex before sock.Reader.mutex; Server.mutex and bodyMemory.mutex are never held together with
// another lock.
package caller
