// Package score runs named, seeded scenarios and measures the imbalance, churn and unavailability of the placement,
// for this program and for a naive version on the same input. It runs the decision packages in the simulation of package
// trial and is deterministic: a row's figures depend only on the seed.
package score
