package experimenter

import (
	"errors"
	"slices"
	"time"

	"burdocklink/admitter"
	"burdocklink/emulator"
	"burdocklink/router"
)

// naiveRetries is how often a policy without admission tries again.
const naiveRetries = 2

// admit gives a request to its entry.
func (s *simulation) admit(c *call) {
	if c.entry.naive != nil {
		s.send(c)
		return
	}
	ticket := c.entry.queue.Arrive(s.now, c.request)
	c.entry.calls[ticket] = c
	s.settle(c.entry)
}

// send dispatches at once, as the baselines do.
func (s *simulation) send(c *call) {
	route := c.request.Route
	route.Avoid = c.avoid
	name := c.entry.naive.choose(s.catalog, &route)
	if name == "" {
		s.finish(c, noUpstream)
		return
	}
	c.entry.naive.outstanding[name]++
	s.dispatch(c, name, nil)
}

// wake lets an entry look at its queue.
func (s *simulation) wake(e *entry) {
	e.queue.Pump(s.now)
	s.settle(e)
}

// settle carries out the decisions of an entry's queue.
func (s *simulation) settle(e *entry) {
	for _, d := range e.queue.Take() {
		c := e.calls[d.Ticket]
		delete(e.calls, d.Ticket)
		if d.Grant != nil {
			s.dispatch(c, d.Grant.Choice.Upstream, d.Grant)
			continue
		}
		s.finish(c, refusal(d.Err))
	}
	next := e.queue.Next()
	if !next.IsZero() && (e.wakeAt.IsZero() || !e.wakeAt.After(s.now) || next.Before(e.wakeAt)) {
		e.wakeAt = next
		s.agenda.add(maxTime(next, s.now.Add(time.Millisecond)), wake{entry: e})
	}
}

func refusal(err error) outcome {
	var gone *admitter.TargetMissedError
	var full *admitter.OverloadError
	var none *router.NoUpstreamError
	switch {
	case errors.As(err, &gone):
		return hopeless
	case errors.As(err, &full):
		return overloaded
	case errors.As(err, &none):
		return noUpstream
	default:
		return failed
	}
}

func (s *simulation) dispatch(c *call, name string, grant *admitter.Grant) {
	s.ids++
	server := s.servers[name]
	a := &attempt{call: c, server: server, id: s.ids, grant: grant}
	if server.lost {
		s.agenda.add(s.now.Add(dialTimeout), unreachable{attempt: a})
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
		s.end(a, router.OutcomeRefused)
		return
	}
	server.attempts[a.id] = a
	if idle {
		s.agenda.add(server.engine.Next(), step{server: server})
	}
}

func (s *simulation) step(server *server) {
	if server.lost {
		return
	}
	events := server.engine.Step(s.now)
	if next := server.engine.Next(); !next.IsZero() {
		s.agenda.add(next, step{server: server})
	}
	for _, event := range events {
		a := server.attempts[event.ID]
		if event.First {
			s.first(a)
		}
		if event.Finished {
			delete(server.attempts, event.ID)
			s.end(a, router.OutcomeFinished)
		}
	}
}

func (s *simulation) first(a *attempt) {
	if a.call.first.IsZero() {
		a.call.first = s.now
	}
	if a.grant != nil {
		a.grant.FirstToken(s.now)
	}
}

// end takes in the end of an attempt and tries again where that is allowed.
func (s *simulation) end(a *attempt, how router.Outcome) {
	c := a.call
	if a.grant != nil {
		tokens := 0
		if how == router.OutcomeFinished {
			tokens = c.answerTokens
		}
		c.entry.queue.End(a.grant, admitter.Result{Ended: s.now, Tokens: tokens, Outcome: how})
	} else {
		c.entry.naive.outstanding[a.server.name]--
	}
	switch {
	case how == router.OutcomeFinished:
		s.finish(c, finished)
	case how == router.OutcomeFailed && c.request.Class.RepeatForbidden:
		s.finish(c, failed)
	default:
		s.again(a)
	}
	if c.entry.queue != nil {
		s.wake(c.entry)
	}
}

func (s *simulation) again(a *attempt) {
	c := a.call
	c.retries++
	c.avoid = append(slices.Clone(c.avoid), a.server.name)
	if a.grant != nil {
		c.entry.calls[c.entry.queue.ArriveRetry(s.now, a.grant)] = c
		return
	}
	if c.retries > naiveRetries {
		s.finish(c, failed)
		return
	}
	s.send(c)
}

func (s *simulation) finish(c *call, how outcome) {
	c.outcome = how
	c.ended = s.now
	c.decided++
	s.open--
}
