package admitter

import "burdocklink/limiter"

// retryBudgets are the retry budgets of the services: the failures of one must not
// spend what another one needs.
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

// resize changes the reserve of all budgets.
func (b *retryBudgets) resize(reserve float64) {
	b.settings.Reserve = reserve
	for _, budget := range b.services {
		budget.Resize(reserve)
	}
}
