// Package tunnel opens connections to upstreams, through another host where this one does not reach the upstream itself,
// and serves other hosts in the same way. A tunnel is a TCP connection to another host's internal address that begins
// with one JSON-RPC call, which names the upstream's address; after a positive answer, the bytes of both sides are
// copied, and the end of one side is passed on as what it was. Package reach decides when tunnels are used.
//
// Lock order: Dialer.mutex and Server.mutex are each taken alone, and no callback is called with one of them held. A
// caller may hold a lock of its own, as conns.Pool does.
package tunnel
