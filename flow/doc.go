// Package flow schedules the requests to one service on one host. It decides to which upstream a request goes and when,
// and refuses at once a request that cannot be answered in time. The package does no I/O and reads no clock: the caller
// serializes the calls and passes the current time.
package flow
