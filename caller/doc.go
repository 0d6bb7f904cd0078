// Package caller serves callers' connections. It reads requests as strictly as
// needed for no two parsers to read them differently, goes on watching a
// connection while its requests wait or run, works on pipelined requests at
// once, and answers them in order.
//
// Lock order: conn.mutex before sock.Intake's; Server.mutex and memory.mutex are
// taken alone.
package caller
