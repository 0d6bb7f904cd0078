package permit

import (
	"cherrykeel"
)

// Statement is what an answer of an upstream says of its rate limit.
type Statement struct {
	// Limited is false if the answer names no limit.
	Limited bool
	// PerSecond is the number of requests a second that the upstream takes from all hosts together.
	PerSecond float64
	// SentAt is when the answered request was sent, ReceivedAt when its answer was received. The upstream made the
	// statement in between.
	SentAt     cherrykeel.Instant
	ReceivedAt cherrykeel.Instant
}

// IsSame reports whether two statements name the same limit.
func (statement Statement) IsSame(other Statement) bool {
	return statement.Limited == other.Limited && statement.PerSecond == other.PerSecond
}

// isStricter reports whether the statement allows less than another one.
func (statement Statement) isStricter(other Statement) bool {
	if statement.Limited != other.Limited {
		return statement.Limited
	}
	return statement.PerSecond < other.PerSecond
}

// Merge returns which of two statements of one upstream holds. Answers overtake each other, so the later one holds only
// if its request was sent after the answer with the other one had been received. Otherwise nobody knows which was made
// later, and the stricter one holds.
func Merge(known, heard Statement) Statement {
	switch {
	case known.IsSame(heard):
		known.SentAt = max(known.SentAt, heard.SentAt)
		known.ReceivedAt = max(known.ReceivedAt, heard.ReceivedAt)
		return known
	case heard.SentAt >= known.ReceivedAt:
		return heard
	case known.SentAt >= heard.ReceivedAt:
		return known
	case heard.isStricter(known):
		return heard
	default:
		return known
	}
}
