// Package watch follows the store's topics and keeps what they say: the routes
// in force, the upstreams, the other hosts and the table of key spans. Each
// view only goes forward, also when the store answers with something older.
//
// Lock order: each view's mutex is taken alone; changes are told outside it.
package watch
