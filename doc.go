// Package cherrykeel is a router in front of servers that hold keys exclusively.
//
// The root package holds what the other packages share: plain data, the
// interfaces of all behaviour that varies, and Router, which passes a request
// through stages in order of priority. Implementations stand in the packages
// below; package host assembles the ready default.
package cherrykeel
