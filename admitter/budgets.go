package admitter

import "burdocklink/limiter"

// budgets are the retry budgets of the services: the failures of one must not
// spend what another one needs.
type budgets struct {
	settings limiter.BudgetSettings
	services map[string]*limiter.Budget
}

func newBudgets(settings limiter.BudgetSettings) budgets {
	return budgets{settings: settings, services: map[string]*limiter.Budget{}}
}

// of returns the budget of a service.
func (b *budgets) of(service string) *limiter.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = limiter.NewBudget(b.settings)
		b.services[service] = budget
	}
	return budget
}

// resize changes the reserve of all budgets.
func (b *budgets) resize(reserve float64) {
	b.settings.Reserve = reserve
	for _, budget := range b.services {
		budget.Resize(reserve)
	}
}
