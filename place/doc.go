// Package place decides which upstream owns each partition and hot key of a service. It keeps the number of moves
// low, balances partition counts and load, and chooses successors in other availability zones. All decisions are
// pure; docs/design/placement.md gives the reasons.
package place
