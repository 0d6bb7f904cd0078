// Package score runs named, seeded scenarios and measures imbalance, churn and
// unavailable time, ours beside the naive version on the same input. It drives
// the real decisions through package trial and is pure: a row's figures depend
// on the seed only.
package score
