// Package relay takes callers' requests to upstreams and their answers back: it
// matches routes, deals requests to the parts of a split, asks package flow for
// a place, makes attempts, and tells callers what is known when none succeeds.
//
// Lock order: Relay.mutex before dispatcher.mutex; budgets are locked inside their dispatcher.
package relay
