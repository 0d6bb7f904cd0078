package follow

import (
	"context"

	"github.com/pkg/errors"

	"cherrykeel/fold"
)

// Propose appends a record and waits for the fold's verdict on it. An append whose reply
// is lost is settled by reading on until the record shows up; when the context ends first,
// ErrOutcomeUnknown says that it may still take effect. The record is appended once.
func (follower *Follower) Propose(ctx context.Context, record fold.Record) (fold.Verdict, error) {
	data, err := fold.Encode(record)
	if err != nil {
		return fold.Verdict{}, err
	}
	verdict := follower.await(record.ID)
	defer follower.forget(record.ID)
	_, appendErr := follower.log.Append(ctx, data)
	select {
	case found := <-verdict:
		return found, nil
	case <-ctx.Done():
		if appendErr != nil {
			return fold.Verdict{}, errors.Wrap(ErrOutcomeUnknown, appendErr.Error())
		}
		return fold.Verdict{}, errors.WithStack(ErrOutcomeUnknown)
	}
}

func (follower *Follower) await(id string) chan fold.Verdict {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	verdict := make(chan fold.Verdict, 1)
	follower.waiting[id] = verdict
	return verdict
}

func (follower *Follower) forget(id string) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	delete(follower.waiting, id)
}

func (follower *Follower) wake(verdicts []fold.Verdict) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	for _, verdict := range verdicts {
		follower.keepVerdict(verdict)
		if waiter, waits := follower.waiting[verdict.ID]; waits {
			waiter <- verdict
			delete(follower.waiting, verdict.ID)
		}
	}
}

// keepVerdict remembers the first verdict on an id: a record that was appended twice takes effect at most once.
func (follower *Follower) keepVerdict(verdict fold.Verdict) {
	if _, known := follower.verdicts[verdict.ID]; known {
		return
	}
	follower.verdicts[verdict.ID] = verdict
	follower.order = append(follower.order, verdict.ID)
	if len(follower.order) > recentVerdicts {
		delete(follower.verdicts, follower.order[0])
		follower.order = follower.order[1:]
	}
}

// Verdict returns what became of a record, if it has been read.
func (follower *Follower) Verdict(id string) (fold.Verdict, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	verdict, known := follower.verdicts[id]
	return verdict, known
}
