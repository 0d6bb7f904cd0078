package follow

import (
	"context"

	"github.com/pkg/errors"

	"cherrykeel/fold"
)

// Propose appends a record once, waits until it is read back, and returns the verdict on it. It also waits if the
// append fails, since the append may have taken effect although its reply was lost. If the context ends first, the
// error is ErrOutcomeUnknown: the record may still take effect.
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

// addWaiter returns a channel that receives the verdict on a record when the record is read.
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

// notifyWaiters records verdicts and passes them to the proposers that wait for them.
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

// recordVerdict keeps the first verdict on an id, since a record that was appended twice takes effect at most once. The
// caller holds the mutex.
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

// Verdict returns the verdict on a record, if the record has been read and is one of the most recent.
func (follower *Follower) Verdict(id string) (fold.Verdict, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	verdict, exists := follower.verdicts[id]
	return verdict, exists
}
