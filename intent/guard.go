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
	// ErrNotCaughtUp means that the stream of intents has not been read to its end yet.
	ErrNotCaughtUp = errors.New("the intents in the log have not been read yet")
	// ErrNotConfirmed means that an intent was not read back from the log in time.
	ErrNotConfirmed = errors.New("the log did not confirm the intent in time")
)

const (
	// appendPause is the time between two appends of one host; what comes in between shares the next one.
	appendPause = 10 * time.Millisecond
	// maxBatch is how many begins and ends share an append at the most.
	maxBatch      = 256
	readPause     = 100 * time.Millisecond
	appendTimeout = 2 * time.Second
	// maxReadAge is how long ago the stream may have been read to its end for new intents to be taken.
	maxReadAge = 5 * time.Second
	// unconfirmedTimeout is how long a batch that was not read back is remembered; one that shows
	// up later leaves its keys taken, which is safe.
	unconfirmedTimeout = time.Minute
)

type waiter struct {
	begin fold.IntentBegin
	ready chan struct{}
}

// Guard writes intents to the log and knows those of all hosts.
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
	// unconfirmed maps batches on their way to those who wait for them.
	unconfirmed map[string]sentBatch
	// abandoned names requests that gave up before their intents were read back.
	abandoned map[string]bool
	// freeing maps requests whose keys are about to be freed by this host to those keys.
	freeing        map[string]fold.IntentEnd
	writeRequested chan struct{}
}

// sentBatch is a batch on its way to the log.
type sentBatch struct {
	waiters []*waiter
	sentAt  cherrykeel.Instant
}

// NewGuard returns a guard that knows nothing before Run has read the stream.
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

// Run reads and writes until the context ends.
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

// notifyWaiters tells those whose intents have been read back, and frees the keys of those that have given up.
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

func (guard *Guard) queueEnd(end fold.IntentEnd) {
	guard.ends = append(guard.ends, end)
	if end.NotRun {
		guard.freeing[end.Request] = end
	}
	guard.requestWrite()
}

// removeSettled forgets keys that have been freed, and batches that have not shown up for so long that nobody waits.
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

func (guard *Guard) requestWrite() {
	select {
	case guard.writeRequested <- struct{}{}:
	default:
	}
}

// Begin puts an intent into the log. It returns the key's state and whether the request may be sent:
// only if its own intent is the first with this key.
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

// abandon leaves a note that frees the key should the intent still turn up in the log.
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

// End puts the end of a request into the log, in the background.
func (guard *Guard) End(end fold.IntentEnd) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.queueEnd(end)
}

// Len returns how many keys are known.
func (guard *Guard) Len() int {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.table.Len()
}

// writeBatches appends what waits, one batch after another.
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
	// The append may have taken effect all the same. The ends are appended again, which does
	// no harm; the begins are not, and their requests wait until they are read back or give up.
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.ends = append(batch.Ends, guard.ends...)
	if len(guard.ends) > 0 {
		guard.requestWrite()
	}
}

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
