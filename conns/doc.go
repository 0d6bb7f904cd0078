// Package conns sends HTTP requests to upstreams over pooled connections, one request at a time on each. It never repeats
// a request and reports how far a request got, which net/http's transport does not. It also limits the connections to
// each upstream.
package conns
