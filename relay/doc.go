// Package relay forwards callers' requests to upstreams and returns their answers: it matches routes, spreads requests
// over the targets of a split, acquires a slot from package flow, makes attempts, and answers callers with what is known
// when no attempt succeeds.
//
// Lock order: Relay.mutex before dispatcher.mutex, which also guards the dispatcher's budget.
package relay
