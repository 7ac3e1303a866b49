package admitter

import "burdocklink/limiter"

// retryBudgets holds one retry budget per service, so that failures of one service
// don't use up the retries of another.
type retryBudgets struct {
	settings limiter.BudgetSettings
	services map[string]*limiter.Budget
}

func newRetryBudgets(settings limiter.BudgetSettings) retryBudgets {
	return retryBudgets{settings: settings, services: map[string]*limiter.Budget{}}
}

// get returns the budget of a service.
func (b *retryBudgets) get(service string) *limiter.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = limiter.NewBudget(b.settings)
		b.services[service] = budget
	}
	return budget
}

// resize sets the reserve of all budgets.
func (b *retryBudgets) resize(reserve float64) {
	b.settings.Reserve = reserve
	for _, budget := range b.services {
		budget.Resize(reserve)
	}
}
