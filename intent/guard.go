package intent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fold"
)

// Stream is the name of the log's stream of intents.
const Stream = "intents"

var (
	// ErrNotCaughtUp means that the stream of intents has not been read to its end within maxReadAge.
	ErrNotCaughtUp = errors.New("the intents in the log have not been read to their end recently")
	// ErrNotConfirmed means that an intent was not read back from the log before the context ended.
	ErrNotConfirmed = errors.New("the log did not confirm the intent in time")
)

const (
	// appendPause is the pause after an append; intents that arrive meanwhile share the next one.
	appendPause = 10 * time.Millisecond
	// maxBatch bounds the begins in one append, and also the ends.
	maxBatch = 256
	// readPause is the pause after a failed read.
	readPause     = 100 * time.Millisecond
	appendTimeout = 2 * time.Second
	// maxReadAge is how long ago the stream was last read to its end, at most, for new intents to be accepted.
	maxReadAge = 5 * time.Second
	// unconfirmedTimeout is how long a batch that was not read back is kept. If the batch shows up in the log later, its
	// keys stay in use, which is safe.
	unconfirmedTimeout = time.Minute
)

// waiter is a request that waits until its intent is read back.
type waiter struct {
	begin fold.IntentBegin
	ready chan struct{}
}

// Guard writes this host's intents to the log and reads those of all hosts.
type Guard struct {
	log        cherrykeel.Log
	clock      cherrykeel.Clock
	host       string
	mutex      sync.Mutex
	table      *fold.Intents
	caughtUp   bool
	caughtUpAt cherrykeel.Instant
	begins     []*waiter
	ends       []fold.IntentEnd
	// unconfirmed holds the batches that were not read back yet, by id.
	unconfirmed map[string]sentBatch
	// abandoned holds the ids of requests that stopped waiting before their intents were read back.
	abandoned map[string]bool
	// freeing holds the ends by which this host is about to free keys, by the id of the request that has the key.
	freeing        map[string]fold.IntentEnd
	writeRequested chan struct{}
}

// sentBatch is a batch that was not read back yet, with the requests that wait for it.
type sentBatch struct {
	waiters []*waiter
	sentAt  cherrykeel.Instant
}

// NewGuard returns a guard that accepts no intents until Run has read the stream to its end.
func NewGuard(log cherrykeel.Log, clock cherrykeel.Clock, host string) *Guard {
	return &Guard{
		log:            log,
		clock:          clock,
		host:           host,
		table:          fold.NewIntents(),
		unconfirmed:    map[string]sentBatch{},
		freeing:        map[string]fold.IntentEnd{},
		abandoned:      map[string]bool{},
		writeRequested: make(chan struct{}, 1),
	}
}

// Run reads and writes the stream of intents until the context ends.
func (guard *Guard) Run(ctx context.Context) {
	go guard.writeBatches(ctx)
	for ctx.Err() == nil {
		err := guard.readOnce(ctx)
		if err != nil {
			sleep(ctx, readPause)
		}
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// readOnce reads the stream once and applies the new records.
func (guard *Guard) readOnce(ctx context.Context) error {
	guard.mutex.Lock()
	next := guard.table.Next
	guard.mutex.Unlock()
	batch, err := guard.log.Read(ctx, next)
	if err != nil {
		return err
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	for _, record := range batch.Records {
		id, err := guard.table.Apply(record.Offset, record.Data)
		if err != nil {
			return err
		}
		guard.notifyWaiters(id)
	}
	guard.table.DropBefore(batch.First)
	guard.removeSettled()
	if len(batch.Records) == 0 || guard.table.Next >= batch.Next {
		guard.caughtUp = true
		guard.caughtUpAt = guard.clock.Now()
	}
	return nil
}

// notifyWaiters wakes the requests whose batch has been read back, and frees the keys of those that stopped waiting.
func (guard *Guard) notifyWaiters(id string) {
	for _, waiter := range guard.unconfirmed[id].waiters {
		close(waiter.ready)
		if guard.abandoned[waiter.begin.Request] {
			delete(guard.abandoned, waiter.begin.Request)
			guard.queueEnd(fold.IntentEnd{Service: waiter.begin.Service, Key: waiter.begin.Key, Request: waiter.begin.Request, NotRun: true})
		}
	}
	delete(guard.unconfirmed, id)
}

// queueEnd queues an end for the next append. The caller holds the mutex.
func (guard *Guard) queueEnd(end fold.IntentEnd) {
	guard.ends = append(guard.ends, end)
	if end.NotRun {
		guard.freeing[end.Request] = end
	}
	guard.requestWrite()
}

// removeSettled removes the ends whose keys are free now, and the batches that were not read back for so long that no
// request waits for them.
func (guard *Guard) removeSettled() {
	for request, end := range guard.freeing {
		current, exists := guard.table.Find(end.Service, end.Key)
		if !exists || current.Request != request {
			delete(guard.freeing, request)
		}
	}
	for id, sent := range guard.unconfirmed {
		if guard.clock.Now().Sub(sent.sentAt) < unconfirmedTimeout {
			continue
		}
		for _, waiter := range sent.waiters {
			delete(guard.abandoned, waiter.begin.Request)
		}
		delete(guard.unconfirmed, id)
	}
}

// requestWrite triggers an append by writeBatches.
func (guard *Guard) requestWrite() {
	select {
	case guard.writeRequested <- struct{}{}:
	default:
	}
}

// Begin writes an intent to the log and waits until it is read back. It returns the key's state and whether the request
// may be sent: only if its own intent is the first with this key. The error is ErrNotCaughtUp or ErrNotConfirmed.
func (guard *Guard) Begin(ctx context.Context, begin fold.IntentBegin) (fold.Intent, bool, error) {
	guard.mutex.Lock()
	if !guard.caughtUp || guard.clock.Now().Sub(guard.caughtUpAt) > maxReadAge {
		guard.mutex.Unlock()
		return fold.Intent{}, false, errors.WithStack(ErrNotCaughtUp)
	}
	current, exists := guard.table.Find(begin.Service, begin.Key)
	_, freed := guard.freeing[current.Request]
	if exists && !freed {
		guard.mutex.Unlock()
		return current, false, nil
	}
	waiter := &waiter{begin: begin, ready: make(chan struct{})}
	guard.begins = append(guard.begins, waiter)
	guard.requestWrite()
	guard.mutex.Unlock()
	select {
	case <-waiter.ready:
	case <-ctx.Done():
		return fold.Intent{}, false, guard.abandon(waiter)
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	intent, _ := guard.table.Find(begin.Service, begin.Key)
	return intent, intent.Request == begin.Request, nil
}

// abandon ends the wait for an intent, and makes sure that the key is freed if the intent is or gets into the log.
func (guard *Guard) abandon(target *waiter) error {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	select {
	case <-target.ready:
		guard.queueEnd(fold.IntentEnd{Service: target.begin.Service, Key: target.begin.Key, Request: target.begin.Request, NotRun: true})
		return errors.WithStack(ErrNotConfirmed)
	default:
	}
	for i, waiting := range guard.begins {
		if waiting == target {
			guard.begins = append(guard.begins[:i], guard.begins[i+1:]...)
			return errors.WithStack(ErrNotConfirmed)
		}
	}
	guard.abandoned[target.begin.Request] = true
	return errors.WithStack(ErrNotConfirmed)
}

// End writes the end of a request to the log, in the background.
func (guard *Guard) End(end fold.IntentEnd) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.queueEnd(end)
}

// Len returns the number of keys in use.
func (guard *Guard) Len() int {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.table.Len()
}

// writeBatches appends the waiting begins and ends, one batch after another.
func (guard *Guard) writeBatches(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-guard.writeRequested:
		case <-ctx.Done():
			return
		}
		guard.writeBatch(ctx)
		sleep(ctx, appendPause)
	}
}

// writeBatch appends one batch of the waiting begins and ends, if there are any.
func (guard *Guard) writeBatch(ctx context.Context) {
	batch := guard.nextBatch()
	if len(batch.Begins) == 0 && len(batch.Ends) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := guard.appendBatch(ctx, batch)
	if err == nil {
		return
	}
	// The append may have taken effect all the same. The ends are appended again, which is harmless. The begins are not:
	// their requests wait until the intents are read back or their contexts end.
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.ends = append(batch.Ends, guard.ends...)
	if len(guard.ends) > 0 {
		guard.requestWrite()
	}
}

// nextBatch removes up to maxBatch begins and up to maxBatch ends from the queues and returns them as a batch.
func (guard *Guard) nextBatch() fold.IntentBatch {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	batch := fold.IntentBatch{Format: fold.Format, ID: uuid.NewString(), Host: guard.host, Time: guard.clock.Wall()}
	count := min(len(guard.begins), maxBatch)
	waiters := guard.begins[:count:count]
	guard.begins = guard.begins[count:]
	for _, waiter := range waiters {
		batch.Begins = append(batch.Begins, waiter.begin)
	}
	count = min(len(guard.ends), maxBatch)
	batch.Ends = guard.ends[:count:count]
	guard.ends = guard.ends[count:]
	if len(guard.begins) > 0 || len(guard.ends) > 0 {
		guard.requestWrite()
	}
	if len(waiters) > 0 {
		guard.unconfirmed[batch.ID] = sentBatch{waiters: waiters, sentAt: guard.clock.Now()}
	}
	return batch
}

func (guard *Guard) appendBatch(ctx context.Context, batch fold.IntentBatch) error {
	data, err := encode(batch)
	if err != nil {
		return err
	}
	_, err = guard.log.Append(ctx, data)
	return err
}
