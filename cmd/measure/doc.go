// Command measure prints imbalance, churn and unavailable time on named, seeded
// scenarios, ours beside the naive version.
package main
