// Package admit decides when a request may go to an upstream: how many at once,
// who waits, who goes first, and who is refused early. It is pure.
package admit
