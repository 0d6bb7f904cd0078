// Package fold computes the state that all hosts share from the records of the platform's log.
//
// It is pure: the same records give the same state on every host, whatever program version wrote them. A record is
// accepted or rejected only by the versions that it replaces, never by the meaning of the settings that it carries.
package fold
