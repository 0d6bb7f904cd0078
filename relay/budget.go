package relay

import "cherrykeel"

const (
	// budgetBuckets divides the window; counts that are older than the window are dropped one bucket at a time.
	budgetBuckets = 20
	// budgetSafetyFactor is the share of the allowance that is used: each host divides it by the number of hosts that
	// it sees, and these numbers differ.
	budgetSafetyFactor = 0.8
)

// budget counts one service's requests and retries on this host within the platform's window. All hosts share the
// allowance: each may use the ratio of its own requests and an equal share of the slack.
type budget struct {
	bounds   func() cherrykeel.Bounds
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
	current  int64
}

// newBudget returns a budget within the bounds, which are read at each use.
func newBudget(bounds func() cherrykeel.Bounds) *budget {
	return &budget{bounds: bounds}
}

// advance drops the buckets that are out of the window and returns the current one.
func (budget *budget) advance(now cherrykeel.Instant) int {
	number := int64(now) / int64(max(1, budget.bounds().RetryWindow/budgetBuckets))
	for budget.current < number {
		budget.current = max(budget.current+1, number-budgetBuckets)
		index := budget.current % budgetBuckets
		budget.requests[index] = 0
		budget.retries[index] = 0
	}
	return int(number % budgetBuckets)
}

// recordRequest counts a caller's request.
func (budget *budget) recordRequest(now cherrykeel.Instant) {
	budget.requests[budget.advance(now)]++
}

// trySpend counts one retry if the allowance permits it, and reports whether it does.
func (budget *budget) trySpend(hosts int, now cherrykeel.Instant) bool {
	index := budget.advance(now)
	requests, retries := 0.0, 0.0
	for i := range budgetBuckets {
		requests += budget.requests[i]
		retries += budget.retries[i]
	}
	bounds := budget.bounds()
	allowance := budgetSafetyFactor * (bounds.RetryRatio*requests + bounds.RetrySlack/float64(max(1, hosts)))
	if retries+1 > allowance {
		return false
	}
	budget.retries[index]++
	return true
}
