package experimenter

import (
	"errors"
	"slices"
	"time"

	"burdocklink/admitter"
	"burdocklink/emulator"
	"burdocklink/router"
)

// baselineRetries is the maximum number of retries of a policy without admission.
const baselineRetries = 2

// enqueue adds a request to the queue of its entry, or dispatches it at once under
// a policy without admission.
func (s *simulation) enqueue(c *call) {
	if c.entry.baseline != nil {
		s.send(c)
		return
	}
	ticket := c.entry.queue.Arrive(s.now, c.request)
	c.entry.calls[ticket] = c
	s.applyDecisions(c.entry)
}

// send dispatches a request without admission.
func (s *simulation) send(c *call) {
	route := c.request.Route
	route.Avoid = c.avoid
	name := c.entry.baseline.choose(s.catalog, &route)
	if name == "" {
		s.finish(c, noUpstream)
		return
	}
	c.entry.baseline.outstanding[name]++
	s.dispatch(c, name, nil)
}

// pumpQueue makes the queue of an entry take the decisions that are due.
func (s *simulation) pumpQueue(e *entry) {
	e.queue.Pump(s.now)
	s.applyDecisions(e)
}

// applyDecisions applies the decisions of an entry's queue and schedules the next
// pump.
func (s *simulation) applyDecisions(e *entry) {
	for _, d := range e.queue.Take() {
		c := e.calls[d.Ticket]
		delete(e.calls, d.Ticket)
		if d.Grant != nil {
			s.dispatch(c, d.Grant.Choice.Upstream, d.Grant)
			continue
		}
		s.finish(c, refusalOutcome(d.Err))
	}
	next := e.queue.Next()
	if !next.IsZero() && (e.pumpAt.IsZero() || !e.pumpAt.After(s.now) || next.Before(e.pumpAt)) {
		e.pumpAt = next
		s.events.schedule(maxTime(next, s.now.Add(time.Millisecond)), pump{entry: e})
	}
}

func refusalOutcome(err error) outcome {
	var missed *admitter.TargetMissedError
	var full *admitter.OverloadError
	var none *router.NoUpstreamError
	switch {
	case errors.As(err, &missed):
		return targetMissed
	case errors.As(err, &full):
		return overloaded
	case errors.As(err, &none):
		return noUpstream
	default:
		return failed
	}
}

func (s *simulation) dispatch(c *call, name string, grant *admitter.Grant) {
	s.lastAttempt++
	server := s.servers[name]
	a := &attempt{call: c, server: server, id: s.lastAttempt, grant: grant}
	if server.lost {
		s.events.schedule(s.now.Add(dialTimeout), unreachable{attempt: a})
		return
	}
	job := emulator.Job{
		ID: a.id, Model: c.request.Route.Model, BaseModel: c.request.Route.BaseModel,
		PromptTokens: c.request.Route.PromptTokens, AnswerTokens: c.answerTokens,
		PrefixTokens: c.prefixTokens,
	}
	if parts := c.request.Route.Prefixes; len(parts) > 0 {
		job.Prefix = parts[0].Hash
	}
	if grant != nil {
		job.Priority = grant.Priority
	}
	idle := server.engine.Next().IsZero()
	if !server.engine.Submit(s.now, job) {
		s.endAttempt(a, router.OutcomeRefused)
		return
	}
	server.attempts[a.id] = a
	if idle {
		s.events.schedule(server.engine.Next(), step{server: server})
	}
}

func (s *simulation) step(server *server) {
	if server.lost {
		return
	}
	events := server.engine.Step(s.now)
	if next := server.engine.Next(); !next.IsZero() {
		s.events.schedule(next, step{server: server})
	}
	for _, event := range events {
		a := server.attempts[event.ID]
		if event.First {
			s.recordFirstToken(a)
		}
		if event.Finished {
			delete(server.attempts, event.ID)
			s.endAttempt(a, router.OutcomeFinished)
		}
	}
}

func (s *simulation) recordFirstToken(a *attempt) {
	if a.call.firstToken.IsZero() {
		a.call.firstToken = s.now
	}
	if a.grant != nil {
		a.grant.FirstToken(s.now)
	}
}

// endAttempt ends an attempt and finishes or retries its request. A request that
// must not be repeated is not retried after a failed attempt.
func (s *simulation) endAttempt(a *attempt, outcome router.Outcome) {
	c := a.call
	if a.grant != nil {
		tokens := 0
		if outcome == router.OutcomeFinished {
			tokens = c.answerTokens
		}
		c.entry.queue.End(a.grant, admitter.Result{Ended: s.now, Tokens: tokens, Outcome: outcome})
	} else {
		c.entry.baseline.outstanding[a.server.name]--
	}
	switch {
	case outcome == router.OutcomeFinished:
		s.finish(c, finished)
	case outcome == router.OutcomeFailed && c.request.Class.RepeatForbidden:
		s.finish(c, failed)
	default:
		s.retry(a)
	}
	if c.entry.queue != nil {
		s.pumpQueue(c.entry)
	}
}

func (s *simulation) retry(a *attempt) {
	c := a.call
	c.retries++
	c.avoid = append(slices.Clone(c.avoid), a.server.name)
	if a.grant != nil {
		c.entry.calls[c.entry.queue.ArriveRetry(s.now, a.grant)] = c
		return
	}
	if c.retries > baselineRetries {
		s.finish(c, failed)
		return
	}
	s.send(c)
}

func (s *simulation) finish(c *call, how outcome) {
	c.outcome = how
	c.ended = s.now
	c.finalAnswers++
	s.unfinished--
}
