package retry

// Budget limits retries to a share of the recent requests, so that retries cannot multiply an overload: with a share of
// 0.1, upstreams get at most 1.1 times the callers' requests, plus a small reserve that lets services with few requests
// retry too.
type Budget struct {
	tokens float64
}

const (
	// budgetReserve is the balance of a new budget, maxBudget the highest one, both in retries.
	budgetReserve = 10
	maxBudget     = 100
)

// NewBudget returns a budget that contains the reserve.
func NewBudget() *Budget {
	return &Budget{tokens: budgetReserve}
}

// Deposit adds the share of a retry that one request of a caller allows.
func (budget *Budget) Deposit(share float64) {
	budget.tokens = min(budget.tokens+share, maxBudget)
}

// CanRetry reports whether the budget covers a retry.
func (budget *Budget) CanRetry() bool {
	return budget.tokens >= 1
}

// Withdraw deducts the cost of a retry.
func (budget *Budget) Withdraw(cost float64) {
	budget.tokens -= cost
}
