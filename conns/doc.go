// Package conns carries one HTTP request at a time over connections that it
// counts itself. It repeats nothing and reports how far a request got, which
// net/http's transport does not tell.
package conns
