package fakes

import (
	"net/http"
	"sync"
)

type cachedValue struct {
	term  int64
	value string
}

// Registers holds one text for each key, as the state that owners share over time.
// Each owner reads a key once in a term and then trusts its own copy, as a real
// owner would; so two owners at one moment show as lost or stale values.
type Registers struct {
	mutex  sync.Mutex
	stored map[string]string
	copies map[*Upstream]map[string]cachedValue
}

// NewRegisters returns empty registers.
func NewRegisters() *Registers {
	return &Registers{stored: map[string]string{}, copies: map[*Upstream]map[string]cachedValue{}}
}

// access reads the key's text, or sets it to the body of a PUT or POST.
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

// forget drops what an upstream has read of a service, when it is given or loses keys.
func (registers *Registers) forget(upstream *Upstream) {
	registers.mutex.Lock()
	defer registers.mutex.Unlock()
	delete(registers.copies, upstream)
}
