package fold

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

const (
	// intentWindow is how long a repeated Idempotency-Key is recognized, if the log's retention is not shorter.
	intentWindow = 24 * time.Hour
	// maxClockStep bounds how far one record's time can move the table's, so that one host's
	// wrong clock cannot end the window of everybody's keys.
	maxClockStep = 10 * time.Minute
)

// IntentBatch is one record of the stream of intents; several requests share it.
type IntentBatch struct {
	Format int
	ID     string
	Host   string
	Time   time.Time
	Begins []IntentBegin `json:",omitempty"`
	Ends   []IntentEnd   `json:",omitempty"`
}

// IntentBegin says that a request is about to be sent to an upstream.
type IntentBegin struct {
	Service string
	// Key is the caller's Idempotency-Key.
	Key string
	// Digest tells one request from another that uses the same key by mistake.
	Digest string
	// Request is the id of the request that asks.
	Request string
}

// IntentEnd says how a request ended that has an intent.
type IntentEnd struct {
	Service string
	Key     string
	Request string
	// NotRun frees the key: no upstream acted and none will.
	NotRun bool `json:",omitempty"`
	// Answer is what the caller got, if it was small enough to keep.
	Answer *IntentAnswer `json:",omitempty"`
	Status int           `json:",omitempty"`
}

// IntentAnswer is an answer that a repeat is given again.
type IntentAnswer struct {
	ContentType string
	Body        []byte
}

// Intent is the state of one key.
type Intent struct {
	Digest  string
	Request string
	Host    string
	Time    time.Time
	// Status is 0 while the request has not been answered, as far as the log says.
	Status int
	Answer *IntentAnswer
	offset int64
}

type intentName struct {
	service string
	key     string
}

// Intents is the fold of the stream of intents. It is not safe for use by several goroutines.
type Intents struct {
	Next    int64
	clock   time.Time
	intents map[intentName]Intent
	// order lists the names by age, for expiry.
	order []intentName
}

// NewIntents returns a table that has read nothing.
func NewIntents() *Intents {
	return &Intents{intents: map[intentName]Intent{}}
}

// Find returns the state of a key.
func (intents *Intents) Find(service, key string) (Intent, bool) {
	intent, exists := intents.intents[intentName{service, key}]
	return intent, exists
}

// Len returns how many keys are known.
func (intents *Intents) Len() int {
	return len(intents.intents)
}

// Apply folds one record and returns the batch's id. Of several intents with one key the first in the log wins.
func (intents *Intents) Apply(offset int64, data []byte) (string, error) {
	var batch IntentBatch
	err := json.Unmarshal(data, &batch)
	if err != nil {
		intents.Next = offset + 1
		return "", nil
	}
	if batch.Format > Format {
		return "", errors.Wrapf(ErrFormat, "format %d", batch.Format)
	}
	intents.Next = offset + 1
	intents.advanceClock(batch.Time)
	// Ends go first, so that a host may free a key and take it again in one batch.
	for _, end := range batch.Ends {
		intents.applyEnd(end)
	}
	for _, begin := range batch.Begins {
		intents.applyBegin(offset, batch, begin)
	}
	return batch.ID, nil
}

func (intents *Intents) advanceClock(now time.Time) {
	if intents.clock.IsZero() {
		intents.clock = now
	}
	if limit := intents.clock.Add(maxClockStep); now.After(limit) {
		now = limit
	}
	if now.After(intents.clock) {
		intents.clock = now
	}
	intents.removeOldest(func(intent Intent) bool { return intents.clock.Sub(intent.Time) > intentWindow })
}

// DropBefore forgets what the log's retention has dropped, since a new host would not know it either.
func (intents *Intents) DropBefore(first int64) {
	intents.removeOldest(func(intent Intent) bool { return intent.offset < first })
}

func (intents *Intents) removeOldest(isExpired func(intent Intent) bool) {
	for len(intents.order) > 0 {
		intent, exists := intents.intents[intents.order[0]]
		if exists && !isExpired(intent) {
			return
		}
		delete(intents.intents, intents.order[0])
		intents.order = intents.order[1:]
	}
}

func (intents *Intents) applyBegin(offset int64, batch IntentBatch, begin IntentBegin) {
	key := intentName{begin.Service, begin.Key}
	if _, exists := intents.intents[key]; exists {
		return
	}
	intents.intents[key] = Intent{
		Digest:  begin.Digest,
		Request: begin.Request,
		Host:    batch.Host,
		Time:    intents.clock,
		offset:  offset,
	}
	intents.order = append(intents.order, key)
}

func (intents *Intents) applyEnd(end IntentEnd) {
	key := intentName{end.Service, end.Key}
	intent, exists := intents.intents[key]
	if !exists || intent.Request != end.Request {
		return
	}
	if end.NotRun {
		delete(intents.intents, key)
		return
	}
	intent.Status = end.Status
	intent.Answer = end.Answer
	intents.intents[key] = intent
}
