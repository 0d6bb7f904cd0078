package fakes

import (
	"net/http"
	"sync"
)

// cachedValue is an upstream's copy of a key's value, with the term in which it was read.
type cachedValue struct {
	term  int64
	value string
}

// Registers is the storage that the upstreams of a service share, with one text value per key. Like a real owner, an
// upstream reads a key once per term and then uses its own copy. If two upstreams own a key at the same time, this shows
// as lost or stale values.
type Registers struct {
	mutex  sync.Mutex
	stored map[string]string
	copies map[*Upstream]map[string]cachedValue
}

// NewRegisters returns registers without values.
func NewRegisters() *Registers {
	return &Registers{stored: map[string]string{}, copies: map[*Upstream]map[string]cachedValue{}}
}

// access returns the key's value, after setting it to the body if the call is a PUT or POST. Without a key it returns
// "-".
func (registers *Registers) access(upstream *Upstream, term int64, call call) string {
	registers.mutex.Lock()
	defer registers.mutex.Unlock()
	name := call.service + " " + call.key
	if call.key == "" {
		return "-"
	}
	copies, exists := registers.copies[upstream]
	if !exists {
		copies = map[string]cachedValue{}
		registers.copies[upstream] = copies
	}
	current, known := copies[name]
	if !known || current.term != term {
		current = cachedValue{term: term, value: registers.stored[name]}
	}
	if call.method == http.MethodPut || call.method == http.MethodPost {
		current.value = string(call.body)
		registers.stored[name] = current.value
	}
	copies[name] = current
	return current.value
}

// forget drops all copies of an upstream, so that it reads the stored values again after its keys have changed.
func (registers *Registers) forget(upstream *Upstream) {
	registers.mutex.Lock()
	defer registers.mutex.Unlock()
	delete(registers.copies, upstream)
}
