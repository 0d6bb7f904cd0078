// Package relay takes callers' requests to upstreams and their answers back: it matches routes, spreads requests over
// the targets of a split, asks package flow for a slot, makes attempts, and answers callers with what is known when no
// attempt succeeds.
//
// Lock order: Relay.mutex before dispatcher.mutex, which also guards the dispatcher's budget.
package relay
