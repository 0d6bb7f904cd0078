// Package intent keeps repeated requests from running twice. Before a guarded request is sent to an upstream, its intent
// is written to the platform's log, where several intents share an append. If several intents have the same
// Idempotency-Key, the first in the log wins.
//
// Lock order: Guard has one lock, and makes no call that waits while it holds it.
package intent
