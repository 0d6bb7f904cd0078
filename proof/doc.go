// Package proof holds the tests with real processes: several entry hosts, the
// platform's stand-ins and upstreams, behind a proxy that injects faults.
package proof
