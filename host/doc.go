// Package host assembles an entry host: it runs the loops, carries out what the
// decision packages decide, and answers callers, operators and peers.
//
// Lock order: duty.mutex, then roster's, then the edge package's; the
// stewards' lock stands alone. A lock is
// never held over a call to another process.
package host
