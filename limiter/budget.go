package limiter

// BudgetSettings configure a Budget.
type BudgetSettings struct {
	// Fraction is the number of retries that each request earns.
	Fraction float64
	// Reserve is the most retries that can be saved up. It keeps a quiet period
	// from paying for a retry storm.
	Reserve float64
	// Initial is the number of retries available at the start; zero means the whole
	// reserve. A process may have spent its reserve before it was restarted.
	Initial float64
}

// DefaultBudget returns the default settings.
func DefaultBudget() BudgetSettings {
	return BudgetSettings{Fraction: retryFraction, Reserve: retryReserve}
}

// Defaults of a retry budget.
const (
	retryFraction = 0.1
	retryReserve  = 10.0
)

// Budget bounds retries to a fraction of the requests.
type Budget struct {
	settings BudgetSettings
	tokens   float64
}

// NewBudget returns a budget with its initial retries available.
func NewBudget(settings BudgetSettings) *Budget {
	first := settings.Reserve
	if settings.Initial > 0 {
		first = min(first, settings.Initial)
	}
	return &Budget{settings: settings, tokens: first}
}

// Resize sets the reserve.
func (b *Budget) Resize(reserve float64) {
	b.settings.Reserve = reserve
	b.tokens = min(b.tokens, reserve)
}

// Earn counts a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.settings.Reserve, b.tokens+b.settings.Fraction) }

// Spend takes one retry from the budget. It reports false if there is none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
