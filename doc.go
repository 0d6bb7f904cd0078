// Package cherrykeel is a router in front of servers that own keys exclusively.
//
// The root package declares what the other packages share: plain data types,
// the interfaces of all replaceable behaviour, and Router, which passes a
// request through stages in order of priority. The packages below implement
// these interfaces; package host assembles the default configuration.
package cherrykeel
