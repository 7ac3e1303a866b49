package limiter

// BudgetSettings bound retries.
type BudgetSettings struct {
	// Fraction is how many retries each request earns.
	Fraction float64
	// Reserve is the most that can be saved up, so that a quiet time does not
	// pay for a storm.
	Reserve float64
	// Initial is what can be spent from the start, zero for the whole reserve: the
	// process may have been restarted and have spent its reserve before.
	Initial float64
}

// DefaultBudget returns the standard bounds.
func DefaultBudget() BudgetSettings {
	return BudgetSettings{Fraction: retryFraction, Reserve: retryReserve}
}

// Standard bounds of retries.
const (
	retryFraction = 0.1
	retryReserve  = 10.0
)

// Budget bounds retries to a fraction of the requests.
type Budget struct {
	settings BudgetSettings
	tokens   float64
}

// NewBudget returns a budget with its reserve filled, or with what can be spent
// from the start.
func NewBudget(settings BudgetSettings) *Budget {
	first := settings.Reserve
	if settings.Initial > 0 {
		first = min(first, settings.Initial)
	}
	return &Budget{settings: settings, tokens: first}
}

// Resize changes the reserve.
func (b *Budget) Resize(reserve float64) {
	b.settings.Reserve = reserve
	b.tokens = min(b.tokens, reserve)
}

// Earn counts a first try.
func (b *Budget) Earn() { b.tokens = min(b.settings.Reserve, b.tokens+b.settings.Fraction) }

// Spend takes one retry out of the budget. It returns false when there is
// none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
