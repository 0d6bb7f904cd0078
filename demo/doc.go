// Package demo runs a complete system in one process: stand-ins for the platform and for upstreams, an entry host, both
// example trees and a little traffic. Benchmarks use its World as well.
package demo
