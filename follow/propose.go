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
	verdict := follower.addWaiter(record.ID)
	defer follower.removeWaiter(record.ID)
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

func (follower *Follower) addWaiter(id string) chan fold.Verdict {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	verdict := make(chan fold.Verdict, 1)
	follower.waiters[id] = verdict
	return verdict
}

func (follower *Follower) removeWaiter(id string) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	delete(follower.waiters, id)
}

func (follower *Follower) notifyWaiters(verdicts []fold.Verdict) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	for _, verdict := range verdicts {
		follower.recordVerdict(verdict)
		if waiter, exists := follower.waiters[verdict.ID]; exists {
			waiter <- verdict
			delete(follower.waiters, verdict.ID)
		}
	}
}

// recordVerdict remembers the first verdict on an id: a record that was appended twice takes effect at most once.
func (follower *Follower) recordVerdict(verdict fold.Verdict) {
	if _, exists := follower.verdicts[verdict.ID]; exists {
		return
	}
	follower.verdicts[verdict.ID] = verdict
	follower.verdictOrder = append(follower.verdictOrder, verdict.ID)
	if len(follower.verdictOrder) > maxRecentVerdicts {
		delete(follower.verdicts, follower.verdictOrder[0])
		follower.verdictOrder = follower.verdictOrder[1:]
	}
}

// Verdict returns what became of a record, if it has been read.
func (follower *Follower) Verdict(id string) (fold.Verdict, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	verdict, exists := follower.verdicts[id]
	return verdict, exists
}
