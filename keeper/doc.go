// Package keeper decides what the keeper of a keyed service does: when a host claims the role, which upstream should
// own what, which leases are granted, and what is recorded in the log. All decisions are pure; package host carries
// out the actions that Tick returns.
package keeper
