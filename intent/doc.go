// Package intent keeps repeated requests from running twice: the intent of each
// guarded request is in the platform's log before the request is sent, several
// intents to an append, and the first in the log wins.
//
// Lock order: Guard has one lock; nothing is called with it held that waits.
package intent
