package admitter

import (
	"sync"
	"time"

	"burdocklink/router"
)

// Grant allows one dispatch of a request to the chosen upstream. Done must be
// called when the dispatch has ended; further calls have no effect.
type Grant struct {
	Choice router.Choice
	// Priority is passed to the engine's scheduler; higher values go first.
	Priority int
	// Started is when the grant was issued.
	Started time.Time

	// Entry is the name of the entry that issued the grant; empty for this entry.
	Entry string

	request  Request
	admitter *Admitter
	// onDone receives the result of a grant issued by another entry; nil for local
	// grants.
	onDone func(first time.Time, result Result)
	// retryCovered is true if a retry needs no further retry budget. It is owned by
	// the queue after Reacquire.
	retryCovered bool
	mutex        sync.Mutex
	firstToken   time.Time
	done         bool
}

// NewGrant returns a grant issued by another entry. If retryCovered is true, a
// retry after it needs no further retry budget. onDone receives the result.
func NewGrant(entry string, choice router.Choice, request Request, retryCovered bool, onDone func(first time.Time, result Result)) *Grant {
	return &Grant{
		Choice: choice, Priority: priority(request.Class), Started: time.Now(), Entry: entry,
		request: request, retryCovered: retryCovered, onDone: onDone,
	}
}

// Continue makes retries after this grant continue a stream.
func (g *Grant) Continue(origin router.Origin) { g.request.Route.Origin = origin }

// RetryRequest returns the request for a retry after a failed grant, and whether
// it needs no further retry budget.
func (g *Grant) RetryRequest() (Request, bool) { return newRetry(g).request, g.retryCovered }

// RetryCovered reports whether a retry needs no further retry budget.
func (g *Grant) RetryCovered() bool { return g.retryCovered }

// FirstToken records the time of the first token. Only the first call before Done
// counts.
func (g *Grant) FirstToken(at time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.done && g.firstToken.IsZero() {
		g.firstToken = at
	}
}

// Done records how the dispatch ended and frees its room for other requests.
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

// completedDispatch is a dispatch that has ended, with its measurements.
type completedDispatch struct {
	grant      *Grant
	firstToken time.Time
	result     Result
}

func (d *completedDispatch) sample() router.Sample {
	target := d.grant.request.Class.Target
	return router.Sample{
		Started:             d.grant.Started,
		FirstToken:          d.firstToken,
		Ended:               d.result.Ended,
		Size:                d.grant.request.Route.Size(),
		BaseModel:           d.grant.request.Route.BaseModel,
		AnswerTokens:        d.result.Tokens,
		Outcome:             d.result.Outcome,
		FirstTokenTarget:    target.FirstToken,
		BetweenTokensTarget: target.BetweenTokens,
	}
}

// missedTarget reports whether a target of the class was missed.
func (d *completedDispatch) missedTarget() bool {
	if d.result.Outcome == router.OutcomeCancelled {
		return false
	}
	if d.result.Outcome != router.OutcomeFinished {
		return true
	}
	target := d.grant.request.Class.Target
	arrived := d.grant.request.Arrived
	first := d.firstToken
	if first.IsZero() {
		first = d.result.Ended
	}
	if target.FirstToken > 0 && first.Sub(arrived) > target.FirstToken {
		return true
	}
	if target.Whole > 0 && d.result.Ended.Sub(arrived) > target.Whole {
		return true
	}
	gap := d.sample().TimeBetweenTokens()
	return target.BetweenTokens > 0 && gap > target.BetweenTokens
}

// MarkNotSent records, before Reacquire, that the dispatch did not reach the
// upstream, so that the next dispatch does not count as a retry.
func (g *Grant) MarkNotSent() { g.retryCovered = true }
