// Package keeper decides what the keeper of a keyed service does: when a host
// claims the role, which upstream should own what, which leases go out, and what
// is recorded in the log. It is pure; package host carries its actions out.
package keeper
