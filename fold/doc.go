// Package fold turns the records of the platform's log into the state that all
// hosts share. It is pure: the same records give the same state, whatever the
// program version that wrote them, because it judges records only by the
// versions they replace and never by the meaning of the settings they carry.
package fold
