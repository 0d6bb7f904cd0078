// Package proof tests the system's guarantees with real processes on loopback addresses: several entry hosts, stand-ins
// for the platform's log and host list, and upstreams. Proxies that inject faults stand before the log and the
// upstreams.
package proof
