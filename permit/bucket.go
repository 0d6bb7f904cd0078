package permit

import (
	"time"

	"cherrykeel"
)

const (
	// tryInterval is the interval of requests to an upstream whose limit is lower than that: only an answer shows that
	// it has ended.
	tryInterval = 2100 * time.Millisecond
	// bucketTime is the time for which a bucket saves permits, beyond one: they are handed out some milliseconds late.
	bucketTime = 25 * time.Millisecond
)

// RateOf returns how many requests a second are sent to an upstream that names a limit.
func RateOf(limit float64) float64 {
	return max(limit, 1/tryInterval.Seconds())
}

// bucket is a token bucket that begins empty.
type bucket struct {
	rate     float64
	tokens   float64
	filledAt cherrykeel.Instant
}

// setRate fills the bucket up to now by its old rate, and changes the rate.
func (bucket *bucket) setRate(rate float64, now cherrykeel.Instant) {
	bucket.fill(now)
	bucket.rate = rate
	bucket.tokens = min(bucket.tokens, bucket.depth())
}

func (bucket *bucket) depth() float64 {
	return 1 + bucket.rate*bucketTime.Seconds()
}

func (bucket *bucket) fill(now cherrykeel.Instant) {
	bucket.tokens = min(bucket.depth(), bucket.tokens+bucket.rate*now.Sub(bucket.filledAt).Seconds())
	bucket.filledAt = now
}

// take takes a token, and reports whether there was one.
func (bucket *bucket) take() bool {
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// timeUntil returns the time until the bucket has had a number of tokens more than those that were taken.
func (bucket *bucket) timeUntil(tokens int) time.Duration {
	missing := float64(tokens) - bucket.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / bucket.rate * float64(time.Second))
}
