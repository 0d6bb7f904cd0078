// Command standin runs a stand-in for the platform's log, for its host list, or for an upstream. Faults can be injected
// over HTTP; docs/PROTOCOLS.md describes how.
package main
