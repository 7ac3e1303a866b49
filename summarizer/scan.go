package summarizer

import (
	"maps"
	"slices"
	"time"
)

// scan collects what the lines say.
type scan struct {
	settings Settings
	losses   map[lossKey]*Losses
	// organisations are by name.
	organisations map[string]*OrganisationLosses
	// seconds are by model and second of arrival.
	seconds map[string]map[int64]*second
	// inFlight counts the seconds of requests by second and engine.
	inFlight map[int64]map[string]float64
	engines  map[string]bool
	// orders are the times of orders and plans for copies, by model, and loads those
	// of loads, by model and engine.
	orders map[string][]time.Time
	loads  map[copyKey][]time.Time
	// answers are the times of first events, by model and engine.
	answers map[copyKey][]time.Time
}

type lossKey struct {
	model    string
	adapters bool
}

type copyKey struct{ model, engine string }

// second counts the requests for a model that arrived within one second.
type second struct{ requests, refused int }

func newScan(settings Settings) *scan {
	return &scan{
		settings:      settings,
		losses:        map[lossKey]*Losses{},
		organisations: map[string]*OrganisationLosses{},
		seconds:       map[string]map[int64]*second{},
		inFlight:      map[int64]map[string]float64{},
		engines:       map[string]bool{},
		orders:        map[string][]time.Time{},
		loads:         map[copyKey][]time.Time{},
		answers:       map[copyKey][]time.Time{},
	}
}

// Values of log fields.
const (
	resultWhole   = "whole"
	resultRefused = "refused"
	actionLoad    = 1
)

func (s *scan) add(l line) {
	if l.organisation != "" {
		s.addOrganisation(l)
	}
	switch {
	case l.message == messageDrain:
		s.orders[l.loads] = append(s.orders[l.loads], l.at)
	case l.message == messageOrder && l.action == actionLoad && l.adapter == "":
		s.orders[l.model] = append(s.orders[l.model], l.at)
		key := copyKey{l.model, l.upstream}
		s.loads[key] = append(s.loads[key], l.at)
	case l.message == messageRequest && l.model != "":
		s.addRequest(l)
	}
}

func (s *scan) addRequest(l line) {
	key := lossKey{l.model, l.adapter != ""}
	losses := s.losses[key]
	if losses == nil {
		losses = &Losses{Model: l.model, Adapters: key.adapters, Refused: map[Cause]int{}}
		s.losses[key] = losses
	}
	losses.Requests++
	arrived := l.at.Add(-l.took)
	count := s.secondOf(l.model, arrived.Unix())
	count.requests++
	switch {
	case l.result == resultRefused:
		losses.Refused[l.cause]++
		count.refused++
	case l.result != resultWhole:
		losses.Failed++
	case l.firstEvent > s.settings.Target:
		losses.Late++
	}
	if l.upstream != "" && l.result != resultRefused {
		s.addRun(l, arrived)
	}
}

// addOrganisation counts a request of an organisation, or a grant of units.
func (s *scan) addOrganisation(l line) {
	losses := s.organisations[l.organisation]
	if losses == nil {
		losses = &OrganisationLosses{Organisation: l.organisation, Refused: map[Cause]int{}}
		s.organisations[l.organisation] = losses
	}
	switch {
	case l.message == messageQuota:
		losses.GrantedUnits += l.granted
	case l.message != messageRequest:
	case l.result == resultRefused:
		losses.Requests++
		losses.Refused[l.cause]++
	case l.result != resultWhole:
		losses.Requests++
		losses.Failed++
	default:
		losses.Requests++
	}
}

func (s *scan) secondOf(model string, at int64) *second {
	if s.seconds[model] == nil {
		s.seconds[model] = map[int64]*second{}
	}
	if s.seconds[model][at] == nil {
		s.seconds[model][at] = &second{}
	}
	return s.seconds[model][at]
}

// addRun records when a request was in flight at an engine.
func (s *scan) addRun(l line, arrived time.Time) {
	s.engines[l.upstream] = true
	if l.firstEvent > 0 {
		key := copyKey{l.model, l.upstream}
		s.answers[key] = append(s.answers[key], arrived.Add(l.firstEvent))
	}
	for at := arrived.Unix(); at <= l.at.Unix(); at++ {
		from, to := time.Unix(at, 0), time.Unix(at+1, 0)
		if arrived.After(from) {
			from = arrived
		}
		if l.at.Before(to) {
			to = l.at
		}
		if s.inFlight[at] == nil {
			s.inFlight[at] = map[string]float64{}
		}
		s.inFlight[at][l.upstream] += to.Sub(from).Seconds()
	}
}

// shortages returns the shortages of a model.
func (s *scan) shortages(model string, counts map[int64]*second) []Shortage {
	var found []Shortage
	var current *Shortage
	for _, at := range slices.Sorted(maps.Keys(counts)) {
		count := counts[at]
		share := float64(count.refused) / float64(count.requests)
		if current == nil && count.requests >= minRequests && share > shortageBegins {
			current = &Shortage{Model: model, Start: time.Unix(at, 0).UTC()}
		}
		if current == nil {
			continue
		}
		if share < shortageEnds {
			found = append(found, s.complete(*current, at))
			current = nil
			continue
		}
		current.Refused += count.refused
		current.End = time.Unix(at+1, 0).UTC()
	}
	if current != nil {
		found = append(found, s.complete(*current, current.End.Unix()))
	}
	return found
}

// complete sets the end of a shortage and what happened until then.
func (s *scan) complete(shortage Shortage, end int64) Shortage {
	shortage.End = time.Unix(end, 0).UTC()
	shortage.Ordered = firstSince(s.orders[shortage.Model], shortage.Start)
	for key, loads := range s.loads {
		loaded := firstSince(loads, shortage.Start)
		if key.model != shortage.Model || loaded.IsZero() {
			continue
		}
		served := firstSince(s.answers[key], loaded)
		if !served.IsZero() && (shortage.Served.IsZero() || served.Before(shortage.Served)) {
			shortage.Served = served
		}
	}
	shortage.Idle = s.idleShare(shortage.Start.Unix(), end)
	return shortage
}

// idleShare returns the mean share of idle engines from one second to another.
func (s *scan) idleShare(from, to int64) float64 {
	idle, total := 0, 0
	for at := from; at < to; at++ {
		for engine := range s.engines {
			total++
			if s.inFlight[at][engine] < IdleBelow {
				idle++
			}
		}
	}
	return float64(idle) / float64(max(1, total))
}

// firstSince returns the first of some times that is not before another; zero if
// there is none.
func firstSince(times []time.Time, start time.Time) time.Time {
	var first time.Time
	for _, at := range times {
		if !at.Before(start) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}
