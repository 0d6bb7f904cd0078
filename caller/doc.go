// Package caller serves callers' connections. It reads requests as strictly as
// needed for no two parsers to read them differently, goes on watching a
// connection while its requests wait or run, works on pipelined requests at
// once, and answers them in order.
//
// Lock order: Server.mutex before conn.mutex; memory.mutex is taken alone.
package caller
