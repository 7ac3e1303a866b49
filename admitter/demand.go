package admitter

import (
	"maps"
	"time"

	"burdocklink/placer"
)

// demandCounter counts demand by model (or service, for requests without one) and
// class.
type demandCounter struct {
	since  time.Time
	counts map[string]map[string]placer.Count
}

func newDemandCounter(now time.Time) *demandCounter {
	return &demandCounter{since: now, counts: map[string]map[string]placer.Count{}}
}

func (l *demandCounter) countArrival(request *Request) {
	l.add(request, placer.Count{Arrivals: 1})
}

func (l *demandCounter) countRefusal(request *Request) {
	l.add(request, placer.Count{Refused: 1, Missed: 1})
}

func (l *demandCounter) countCompletion(end *completedDispatch) {
	count := placer.Count{
		Ended:        1,
		Busy:         end.result.Ended.Sub(end.grant.Started),
		PromptTokens: uint64(max(0, end.grant.request.Route.PromptTokens)),
		AnswerTokens: uint64(max(0, end.result.Tokens)),
	}
	if end.missedTarget() {
		count.Missed = 1
	}
	l.add(&end.grant.request, count)
}

func (l *demandCounter) add(request *Request, count placer.Count) {
	name := request.Route.Model
	if name == "" {
		name = request.Route.Service
	}
	classes := l.counts[name]
	if classes == nil {
		classes = map[string]placer.Count{}
		l.counts[name] = classes
	}
	classes[request.Class.Name] = classes[request.Class.Name].Add(count)
}

func (l *demandCounter) snapshot() placer.Demand {
	counts := make(map[string]map[string]placer.Count, len(l.counts))
	for name, classes := range l.counts {
		counts[name] = maps.Clone(classes)
	}
	return placer.Demand{Since: l.since, Counts: counts}
}
