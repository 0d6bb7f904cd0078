// Package demo runs the whole path in one process: stand-ins of the platform and
// of upstreams, an entry host, both users' trees and a little traffic.
package demo
