package fold

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

const (
	// intentWindow is how long a repeated Idempotency-Key is recognized, unless the log's retention is shorter.
	intentWindow = 24 * time.Hour
	// maxClockStep bounds how far the time of one record can advance the table's clock, so that a host with a wrong clock
	// cannot expire the keys of all hosts at once.
	maxClockStep = 10 * time.Minute
)

// IntentBatch is one record of the stream of intents. It carries the begins and ends of several requests of one host.
type IntentBatch struct {
	Format int
	// ID is unique: the host that wrote the batch recognizes it by its id.
	ID string
	// Host is the host that wrote the batch; Time is its wall clock.
	Host   string
	Time   time.Time
	Begins []IntentBegin `json:",omitempty"`
	Ends   []IntentEnd   `json:",omitempty"`
}

// IntentBegin announces that a request is about to be sent to an upstream.
type IntentBegin struct {
	Service string
	// Key is the caller's Idempotency-Key.
	Key string
	// Digest is a hash of the request; it detects a key that is reused for a different request.
	Digest string
	// Request is the request's id.
	Request string
}

// IntentEnd reports how a request that has an intent ended.
type IntentEnd struct {
	Service string
	Key     string
	Request string
	// NotRun frees the key: no upstream ran the request, and none will.
	NotRun bool `json:",omitempty"`
	// Answer is the answer that the caller got, if it was small enough to store.
	Answer *IntentAnswer `json:",omitempty"`
	// Status is the HTTP status of the answer.
	Status int `json:",omitempty"`
}

// IntentAnswer is a stored answer that repeats of the request get.
type IntentAnswer struct {
	ContentType string
	Body        []byte
}

// Intent is the state of one key.
type Intent struct {
	// Digest, Request and Host are those of the first begin with the key; Time is the table's clock at that begin.
	Digest  string
	Request string
	Host    string
	Time    time.Time
	// Status is the HTTP status of the answer, or 0 while the log holds no end of the request.
	Status int
	Answer *IntentAnswer
	offset int64
}

// intentName is a service and an Idempotency-Key.
type intentName struct {
	service string
	key     string
}

// Intents is the state folded from the stream of intents, by service and key. It is not safe for concurrent use.
type Intents struct {
	// Next is the offset of the first record that has not been applied.
	Next    int64
	clock   time.Time
	intents map[intentName]Intent
	// order lists the keys from the oldest to the newest intent, for expiry.
	order []intentName
}

// NewIntents returns an empty table.
func NewIntents() *Intents {
	return &Intents{intents: map[intentName]Intent{}}
}

// Find returns the state of a key and whether the key is in use.
func (intents *Intents) Find(service, key string) (Intent, bool) {
	intent, exists := intents.intents[intentName{service, key}]
	return intent, exists
}

// Len returns the number of keys in use.
func (intents *Intents) Len() int {
	return len(intents.intents)
}

// Apply folds one record and returns the batch's id. If several intents have the same key, the first in the log wins. A
// malformed record is skipped and its id is empty; the error is ErrFormat for a record in a newer format.
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
	// Ends are applied first, so that a host can free a key and use it again in the same batch.
	for _, end := range batch.Ends {
		intents.applyEnd(end)
	}
	for _, begin := range batch.Begins {
		intents.applyBegin(offset, batch, begin)
	}
	return batch.ID, nil
}

// advanceClock moves the table's clock to a record's time, which never turns it back, and removes expired intents.
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

// DropBefore removes the intents from offsets below first. The log no longer holds them, so a host that starts now does
// not have them either.
func (intents *Intents) DropBefore(first int64) {
	intents.removeOldest(func(intent Intent) bool { return intent.offset < first })
}

// removeOldest removes intents from the oldest on, up to the first that is not expired.
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

// applyBegin adds an intent unless its key is in use.
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

// applyEnd stores the answer of the request that has the key, or frees the key. It ignores ends of other requests.
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
