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

	// Entry names the entry that gave the grant; empty for this one.
	Entry string

	request  Request
	admitter *Admitter
	// onDone takes the result of a grant that another entry gave; nil for own ones.
	onDone func(first time.Time, result Result)
	// retryCovered is true once another dispatch needs no more of the retry budget. The
	// queue owns it after Again.
	retryCovered bool
	mutex        sync.Mutex
	firstToken   time.Time
	done         bool
}

// NewGrant returns a grant that another entry gave for a request. Paid is true where
// a retry after it needs no more of the retry budget. Settle takes its result.
func NewGrant(entry string, choice router.Choice, request Request, retryCovered bool, onDone func(first time.Time, result Result)) *Grant {
	return &Grant{
		Choice: choice, Priority: priority(request.Class), Started: time.Now(), Entry: entry,
		request: request, retryCovered: retryCovered, onDone: onDone,
	}
}

// RetryRequest returns what to ask for after the grant has failed, and whether that needs
// no more of the retry budget.
func (g *Grant) RetryRequest() (Request, bool) { return newRetry(g).request, g.retryCovered }

// RetryCovered says whether another dispatch needs no more of the retry budget.
func (g *Grant) RetryCovered() bool { return g.retryCovered }

// FirstToken records when the first token came. Only the first call counts,
// and none after Done.
func (g *Grant) FirstToken(at time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.done && g.firstToken.IsZero() {
		g.firstToken = at
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
	if g.onDone != nil {
		g.onDone(g.firstToken, result)
	}
	if g.admitter != nil {
		g.admitter.complete(completion{grant: g, result: result})
	}
}

// completedDispatch is a finished grant with what was measured of it.
type completedDispatch struct {
	grant      *Grant
	firstToken time.Time
	result     Result
}

func (e *completedDispatch) sample() router.Sample {
	target := e.grant.request.Class.Target
	return router.Sample{
		Started:             e.grant.Started,
		FirstToken:          e.firstToken,
		Ended:               e.result.Ended,
		Work:                e.grant.request.Route.Work(),
		Model:               e.grant.request.Route.Base,
		Tokens:              e.result.Tokens,
		Outcome:             e.result.Outcome,
		FirstTokenTarget:    target.FirstToken,
		BetweenTokensTarget: target.BetweenTokens,
	}
}

// missedTarget says whether the class target was not met.
func (e *completedDispatch) missedTarget() bool {
	if e.result.Outcome == router.OutcomeCancelled {
		return false
	}
	if e.result.Outcome != router.OutcomeFinished {
		return true
	}
	target := e.grant.request.Class.Target
	arrived := e.grant.request.Arrived
	first := e.firstToken
	if first.IsZero() {
		first = e.result.Ended
	}
	if target.FirstToken > 0 && first.Sub(arrived) > target.FirstToken {
		return true
	}
	if target.Whole > 0 && e.result.Ended.Sub(arrived) > target.Whole {
		return true
	}
	gap := e.sample().Gap()
	return target.BetweenTokens > 0 && gap > target.BetweenTokens
}

// MarkNotSent says, before Again, that the dispatch reached nobody: another one is
// no retry.
func (g *Grant) MarkNotSent() { g.retryCovered = true }
