package admitter

import (
	"sync"
	"time"

	"burdocklink/router"
)

// Grant allows one dispatch of a request to the chosen upstream. Done must be
// called once the dispatch has ended; later calls do nothing.
type Grant struct {
	Choice router.Choice
	// Priority is for the engine's scheduler; higher goes first.
	Priority int
	// Started is when the grant was given.
	Started time.Time

	// By names the entry that gave the grant; empty for this one.
	By string

	request  Request
	admitter *Admitter
	// settle takes the result of a grant that another entry gave; nil for own ones.
	settle func(first time.Time, result Result)
	// paid is true once another dispatch needs no more of the retry budget. The
	// queue owns it after Again.
	paid  bool
	mutex sync.Mutex
	first time.Time
	done  bool
}

// NewGrant returns a grant that another entry gave for a request. Paid is true where
// a retry after it needs no more of the retry budget. Settle takes its result.
func NewGrant(by string, choice router.Choice, request Request, paid bool, settle func(first time.Time, result Result)) *Grant {
	return &Grant{
		Choice: choice, Priority: priority(request.Class), Started: time.Now(), By: by,
		request: request, paid: paid, settle: settle,
	}
}

// Retry returns what to ask for after the grant has failed, and whether that needs
// no more of the retry budget.
func (g *Grant) Retry() (Request, bool) { return newRetry(g).request, g.paid }

// Paid says whether another dispatch needs no more of the retry budget.
func (g *Grant) Paid() bool { return g.paid }

// FirstToken records when the first token came. Only the first call counts,
// and none after Done.
func (g *Grant) FirstToken(at time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.done && g.first.IsZero() {
		g.first = at
	}
}

// Done records how the dispatch ended and makes room for the next one.
func (g *Grant) Done(result Result) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.done {
		return
	}
	g.done = true
	if g.settle != nil {
		g.settle(g.first, result)
	}
	if g.admitter != nil {
		g.admitter.finish(ended{grant: g, result: result})
	}
}

// ending is a finished grant with what was measured of it.
type ending struct {
	grant  *Grant
	first  time.Time
	result Result
}

func (e *ending) sample() router.Sample {
	target := e.grant.request.Class.Target
	return router.Sample{
		Started:             e.grant.Started,
		FirstToken:          e.first,
		Ended:               e.result.Ended,
		Work:                e.grant.request.Route.Work(),
		BaseModel:           e.grant.request.Route.BaseModel,
		AnswerTokens:        e.result.Tokens,
		Outcome:             e.result.Outcome,
		FirstTokenTarget:    target.FirstToken,
		BetweenTokensTarget: target.BetweenTokens,
	}
}

// missed says whether the class target was not met.
func (e *ending) missed() bool {
	if e.result.Outcome == router.OutcomeCancelled {
		return false
	}
	if e.result.Outcome != router.OutcomeFinished {
		return true
	}
	target := e.grant.request.Class.Target
	arrived := e.grant.request.Arrived
	first := e.first
	if first.IsZero() {
		first = e.result.Ended
	}
	if target.FirstToken > 0 && first.Sub(arrived) > target.FirstToken {
		return true
	}
	if target.Whole > 0 && e.result.Ended.Sub(arrived) > target.Whole {
		return true
	}
	gap := e.sample().TimeBetweenTokens()
	return target.BetweenTokens > 0 && gap > target.BetweenTokens
}

// NotSent says, before Again, that the dispatch reached nobody: another one is
// no retry.
func (g *Grant) NotSent() { g.paid = true }
