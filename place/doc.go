// Package place decides which upstream owns each partition and hot key of a
// service: few moves, even counts, even load, successors in other availability
// zones. It is pure; docs/design/placement.md gives the reasons.
package place
