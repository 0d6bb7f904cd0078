package memory

import "sync"

// alwaysGrantedBytes is the size up to which memory is always granted: refusing a body this small is not worthwhile.
const alwaysGrantedBytes = 16 << 10

// Limit bounds the bodies in memory, so that large ones, or one that never ends, cannot get the process killed together
// with all its requests. A body may take at most half of the memory that the others leave, so that a few large bodies
// leave room for the usual small ones. It is safe for concurrent use.
type Limit struct {
	mutex sync.Mutex
	bytes int64
	inUse int64
}

// NewLimit returns a limit for bodies of so many bytes in all.
func NewLimit(bytes int64) *Limit {
	return &Limit{bytes: bytes}
}

// Acquire grants more bytes to a body that has acquired some already, and reports whether it did. What is granted must be
// released.
func (limit *Limit) Acquire(already, more int64) bool {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	others := limit.inUse - already
	total := already + more
	if total > alwaysGrantedBytes && total > (limit.bytes-others)/2 {
		return false
	}
	limit.inUse += more
	return true
}

// Release returns bytes that were granted.
func (limit *Limit) Release(bytes int64) {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	limit.inUse -= bytes
}

// InUse returns the bytes that are granted at present.
func (limit *Limit) InUse() int64 {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	return limit.inUse
}
