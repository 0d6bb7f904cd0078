package watch

import "time"

const (
	// overdueShare is the share of a bound after which a host no longer relies on reads of others. The first host reads
	// four to five times in a bound of 2 s and reports as often, so that the state at the others is at most a third of
	// the bound old while that host is available and its messages arrive.
	overdueShare = 0.45
	// spreadShare is the share of the bound over which the hosts' own reads are spread, so that usually one host reads
	// and its report spares the others the call. The last host reads at three quarters of the bound; the remaining
	// quarter allows for a read that hangs on a dead connection and for the one after it.
	spreadShare = 0.3
	// halfSpreadRank is the rank whose read is due after half of the spread.
	halfSpreadRank = 3
)

// IsReadOverdue reports whether a host has to read a topic itself because its state of the topic is too old for a
// change that has to be known within bound. Rank is its place among the hosts that could read, from 0; age is the time
// since the start of the latest read that it knows of, its own or another host's.
//
// It does not matter how many readers were lost, nor why: a reader that hangs, is cut off or crashes reports no recent
// reads, and each remaining host notices that by itself within the bound.
func IsReadOverdue(bound time.Duration, rank int, age time.Duration) bool {
	position := float64(rank) / float64(rank+halfSpreadRank)
	limit := float64(bound) * (overdueShare + spreadShare*position)
	return float64(age) >= limit
}
