// Package edge serves callers: the stages that identify a request, find its
// service, read its body and forward it to an upstream, and the tables that they
// share.
//
// Lock order: Fleet.mutex before pool.mutex; nothing is called with either held
// that waits or takes another lock.
package edge
