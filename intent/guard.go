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
	// freshAfter is how long ago the stream may have been read to its end for new intents to be taken.
	freshAfter = 5 * time.Second
	// forgetAfter is how long a batch that was not read back is remembered; one that shows
	// up later leaves its keys taken, which is safe.
	forgetAfter = time.Minute
)

type waiter struct {
	begin fold.IntentBegin
	ready chan struct{}
}

// Guard writes intents to the log and knows those of all hosts.
type Guard struct {
	log     cherrykeel.Log
	clock   cherrykeel.Clock
	host    string
	mutex   sync.Mutex
	table   *fold.Intents
	fresh   bool
	freshAt cherrykeel.Instant
	begins  []*waiter
	ends    []fold.IntentEnd
	// appended maps batches on their way to those who wait for them.
	appended map[string]sent
	// given names requests that gave up before their intents were read back.
	given map[string]bool
	// freeing maps requests whose keys are about to be freed by this host to those keys.
	freeing map[string]fold.IntentEnd
	kick    chan struct{}
}

// sent is a batch on its way to the log.
type sent struct {
	waiters []*waiter
	at      cherrykeel.Instant
}

// NewGuard returns a guard that knows nothing before Run has read the stream.
func NewGuard(log cherrykeel.Log, clock cherrykeel.Clock, host string) *Guard {
	return &Guard{
		log:      log,
		clock:    clock,
		host:     host,
		table:    fold.NewIntents(),
		appended: map[string]sent{},
		freeing:  map[string]fold.IntentEnd{},
		given:    map[string]bool{},
		kick:     make(chan struct{}, 1),
	}
}

// Run reads and writes until the context ends.
func (guard *Guard) Run(ctx context.Context) {
	go guard.write(ctx)
	for ctx.Err() == nil {
		err := guard.read(ctx)
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

func (guard *Guard) read(ctx context.Context) error {
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
		guard.wake(id)
	}
	guard.table.DropBefore(batch.First)
	guard.tidy()
	if len(batch.Records) == 0 || guard.table.Next >= batch.Next {
		guard.fresh = true
		guard.freshAt = guard.clock.Now()
	}
	return nil
}

// wake tells those whose intents have been read back, and frees the keys of those that have given up.
func (guard *Guard) wake(id string) {
	for _, waiter := range guard.appended[id].waiters {
		close(waiter.ready)
		if guard.given[waiter.begin.Request] {
			delete(guard.given, waiter.begin.Request)
			guard.queueEnd(fold.IntentEnd{Service: waiter.begin.Service, Key: waiter.begin.Key, Request: waiter.begin.Request, NotRun: true})
		}
	}
	delete(guard.appended, id)
}

func (guard *Guard) queueEnd(end fold.IntentEnd) {
	guard.ends = append(guard.ends, end)
	if end.NotRun {
		guard.freeing[end.Request] = end
	}
	guard.signal()
}

// tidy forgets keys that have been freed, and batches that have not shown up for so long that nobody waits.
func (guard *Guard) tidy() {
	for request, end := range guard.freeing {
		known, exists := guard.table.Find(end.Service, end.Key)
		if !exists || known.Request != request {
			delete(guard.freeing, request)
		}
	}
	for id, sent := range guard.appended {
		if guard.clock.Now().Sub(sent.at) < forgetAfter {
			continue
		}
		for _, waiter := range sent.waiters {
			delete(guard.given, waiter.begin.Request)
		}
		delete(guard.appended, id)
	}
}

func (guard *Guard) signal() {
	select {
	case guard.kick <- struct{}{}:
	default:
	}
}

// Begin puts an intent into the log. It returns the key's state and whether the request may be sent:
// only if its own intent is the first with this key.
func (guard *Guard) Begin(ctx context.Context, begin fold.IntentBegin) (fold.Intent, bool, error) {
	guard.mutex.Lock()
	if !guard.fresh || guard.clock.Now().Sub(guard.freshAt) > freshAfter {
		guard.mutex.Unlock()
		return fold.Intent{}, false, errors.WithStack(ErrNotCaughtUp)
	}
	known, exists := guard.table.Find(begin.Service, begin.Key)
	_, freed := guard.freeing[known.Request]
	if exists && !freed {
		guard.mutex.Unlock()
		return known, false, nil
	}
	waiter := &waiter{begin: begin, ready: make(chan struct{})}
	guard.begins = append(guard.begins, waiter)
	guard.signal()
	guard.mutex.Unlock()
	select {
	case <-waiter.ready:
	case <-ctx.Done():
		return fold.Intent{}, false, guard.giveUp(waiter)
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	intent, _ := guard.table.Find(begin.Service, begin.Key)
	return intent, intent.Request == begin.Request, nil
}

// giveUp leaves a note that frees the key should the intent still turn up in the log.
func (guard *Guard) giveUp(gone *waiter) error {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	select {
	case <-gone.ready:
		guard.queueEnd(fold.IntentEnd{Service: gone.begin.Service, Key: gone.begin.Key, Request: gone.begin.Request, NotRun: true})
		return errors.WithStack(ErrNotConfirmed)
	default:
	}
	for i, waiting := range guard.begins {
		if waiting == gone {
			guard.begins = append(guard.begins[:i], guard.begins[i+1:]...)
			return errors.WithStack(ErrNotConfirmed)
		}
	}
	guard.given[gone.begin.Request] = true
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

// write appends what waits, one batch after another.
func (guard *Guard) write(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-guard.kick:
		case <-ctx.Done():
			return
		}
		guard.flush(ctx)
		sleep(ctx, appendPause)
	}
}

func (guard *Guard) flush(ctx context.Context) {
	batch := guard.collect()
	if len(batch.Begins) == 0 && len(batch.Ends) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := guard.append(ctx, batch)
	if err == nil {
		return
	}
	// The append may have taken effect all the same. The ends are appended again, which does
	// no harm; the begins are not, and their requests wait until they are read back or give up.
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.ends = append(batch.Ends, guard.ends...)
	if len(guard.ends) > 0 {
		guard.signal()
	}
}

func (guard *Guard) collect() fold.IntentBatch {
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
		guard.signal()
	}
	if len(waiters) > 0 {
		guard.appended[batch.ID] = sent{waiters: waiters, at: guard.clock.Now()}
	}
	return batch
}

func (guard *Guard) append(ctx context.Context, batch fold.IntentBatch) error {
	data, err := encode(batch)
	if err != nil {
		return err
	}
	_, err = guard.log.Append(ctx, data)
	return err
}
