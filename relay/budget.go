package relay

import "cherrykeel"

const (
	// budgetBuckets divides the window; what falls out of it is forgotten a bucket at a time.
	budgetBuckets = 20
	// budgetCaution keeps a part of the allowance back, since hosts divide it by what each sees.
	budgetSafetyFactor = 0.8
)

// budget counts one service's requests and repeated sends on this host within the platform's window.
// The allowance is shared by all hosts: each takes its own requests' share and an equal part of the slack.
type budget struct {
	bounds   func() cherrykeel.Bounds
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
	current  int64
}

func newBudget(bounds func() cherrykeel.Bounds) *budget {
	return &budget{bounds: bounds}
}

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

// request counts a caller's request.
func (budget *budget) recordRequest(now cherrykeel.Instant) {
	budget.requests[budget.advance(now)]++
}

// spend takes one repeated send, if the allowance has room for it.
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
