// Package wire is the inner protocol between entry hosts: JSON-RPC 2.0 over TCP. docs/PROTOCOLS.md lists its methods.
package wire
