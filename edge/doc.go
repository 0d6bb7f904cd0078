// Package edge implements the request pipeline of an entry host: the stages that assign a request its ID, find its
// service, read its body and forward it to an upstream, and the per-service state that they share.
//
// Lock order: Fleet.mutex before pool.mutex. The methods of Owners and the callback that limits connections are called
// with either held; they take the host's locks or the connection pool's, and do not block. Nothing else that is called
// with either held blocks or takes another lock.
package edge
