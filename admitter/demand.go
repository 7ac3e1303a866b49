package admitter

import (
	"maps"
	"time"
)

// Demand is what one entry was asked for since it started. It is cumulative,
// so that a lost reading costs nothing.
type Demand struct {
	// Since is the start of the entry's counts.
	Since time.Time
	// Counts is by model or adapter, then by class.
	Counts map[string]map[string]Count
}

// Count is the demand for one model or adapter in one class.
type Count struct {
	Arrivals uint64
	// PromptTokens and AnswerTokens are of the requests that ended.
	PromptTokens uint64
	AnswerTokens uint64
	// Refused were answered unrun; Missed were late or refused.
	Refused uint64
	Missed  uint64
}

// ledger counts demand.
type ledger struct {
	since  time.Time
	counts map[string]map[string]Count
}

func newLedger(now time.Time) *ledger {
	return &ledger{since: now, counts: map[string]map[string]Count{}}
}

func (l *ledger) arrived(request *Request) {
	l.add(request, Count{Arrivals: 1})
}

func (l *ledger) refused(request *Request) {
	l.add(request, Count{Refused: 1, Missed: 1})
}

func (l *ledger) ended(end *ending) {
	count := Count{
		PromptTokens: uint64(max(0, end.grant.request.Route.PromptTokens)),
		AnswerTokens: uint64(max(0, end.result.Tokens)),
	}
	if end.missed() {
		count.Missed = 1
	}
	l.add(&end.grant.request, count)
}

func (l *ledger) add(request *Request, count Count) {
	name := request.Route.Holds
	if name == "" {
		name = request.Route.Service
	}
	classes := l.counts[name]
	if classes == nil {
		classes = map[string]Count{}
		l.counts[name] = classes
	}
	sum := classes[request.Class.Name]
	sum.Arrivals += count.Arrivals
	sum.PromptTokens += count.PromptTokens
	sum.AnswerTokens += count.AnswerTokens
	sum.Refused += count.Refused
	sum.Missed += count.Missed
	classes[request.Class.Name] = sum
}

func (l *ledger) demand() Demand {
	counts := make(map[string]map[string]Count, len(l.counts))
	for name, classes := range l.counts {
		counts[name] = maps.Clone(classes)
	}
	return Demand{Since: l.since, Counts: counts}
}
