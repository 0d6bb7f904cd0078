package watch

import "time"

const (
	// overdueShare is the part of a bound after which a host no longer relies on what the others have read.
	// The first host reads four to five times in a bound of 2 s and reports as often, so that what the others
	// know is at most a third of the bound old while it and its messages are well.
	overdueShare = 0.45
	// spreadShare is the part of the bound over which the hosts' own reads are spread, so that mostly one
	// reads and its report spares the others the call. The last one starts at three quarters of the bound;
	// the rest is for a read that hangs on a dead connection and for the one after it.
	spreadShare = 0.3
	// halfSpread is the rank at which half of the spread has passed.
	halfSpreadRank = 3
)

// IsReadOverdue reports whether a host has to read for itself, since what it knows of a topic is too old for a
// change that has to be known within bound. Rank is its place among the hosts that could read, from 0; age
// is the time since the youngest read that it knows of, its own or another host's, was begun.
//
// It does not matter how many readers were lost, nor why: a reader that hangs, is cut off or dies tells no
// young reads any more, and each host that is left notices by itself within the bound.
func IsReadOverdue(bound time.Duration, rank int, age time.Duration) bool {
	position := float64(rank) / float64(rank+halfSpreadRank)
	limit := float64(bound) * (overdueShare + spreadShare*position)
	return float64(age) >= limit
}
