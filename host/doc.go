// Package host assembles an entry host: it runs the periodic loops, executes what the decision packages decide, and
// serves callers, operators and peers.
//
// Lock order: the edge package's locks, then coordinator.mutex or the roster's, of which only one is held at a time;
// slotAllocators.mutex is never held together with another lock. No lock is held during a call to another process.
package host
