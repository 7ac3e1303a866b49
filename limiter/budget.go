package limiter

// Retry budget.
const (
	// retryFraction is how many retries each request earns.
	retryFraction = 0.1
	// retryReserve is the most that can be saved up, so that a quiet time
	// does not pay for a storm.
	retryReserve = 10.0
)

// Budget bounds retries to a fraction of the requests.
type Budget struct{ tokens float64 }

// NewBudget returns a budget with its reserve filled.
func NewBudget() *Budget { return &Budget{tokens: retryReserve} }

// Earn counts a first try.
func (b *Budget) Earn() { b.tokens = min(retryReserve, b.tokens+retryFraction) }

// Spend takes one retry out of the budget. It returns false when there is
// none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
