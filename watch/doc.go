// Package watch follows the topics of the store and holds their current state: the routes in force, the upstreams, the
// other hosts, the evacuated availability zones and the table of key spans. Each view only moves forward, also when the
// store answers with an older state.
//
// Lock order: the mutexes of the views are never held together; callbacks for changes run with no mutex held.
package watch
