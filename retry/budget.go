package retry

// Budget allows retries as a share of recent requests, so that retries cannot
// multiply an overload: at a share of 0.1 upstreams see at most 1.1 times the
// callers' requests, plus a small reserve that lets quiet services retry too.
type Budget struct {
	tokens float64
}

const (
	budgetReserve = 10
	maxBudget     = 100
)

// NewBudget returns a budget that holds its reserve.
func NewBudget() *Budget {
	return &Budget{tokens: budgetReserve}
}

// Deposit adds what one request of a caller brings.
func (budget *Budget) Deposit(share float64) {
	budget.tokens = min(budget.tokens+share, maxBudget)
}

// CanRetry reports whether a retry may be made.
func (budget *Budget) CanRetry() bool {
	return budget.tokens >= 1
}

// Withdraw takes what one retry costs.
func (budget *Budget) Withdraw(cost float64) {
	budget.tokens -= cost
}
