package experimenter

import (
	"time"
)

// Tally counts requests by outcome.
type Tally struct {
	Requests   int
	Met        int
	Late       int
	Hopeless   int
	Overloaded int
	NoUpstream int
	Failed     int
	// Lost requests got no final answer.
	Lost int
	// Doubled requests got more than one final answer.
	Doubled int
	// Cut answers were marked as complete but truncated.
	Cut int
}

// Attainment is the share of requests that met their target.
func (t Tally) Attainment() float64 {
	if t.Requests == 0 {
		return 0
	}
	return float64(t.Met) / float64(t.Requests)
}

// Point is the attainment of the requests that arrived in one interval.
type Point struct {
	// At is the start of the interval, relative to the start of the run.
	At         time.Duration
	Attainment float64
}

// Result is the result of a run.
type Result struct {
	Deployment string
	Case       string
	Policy     string
	Seed       uint64
	Total      Tally
	ByClass    map[string]Tally
	// Light and Heavy count the requests of light and heavy subscribers. Heavy is
	// empty if all subscribers send equally much.
	Light Tally
	Heavy Tally
	// PerAccelerator is the attainment divided by the number of accelerators.
	PerAccelerator float64
	Accelerators   int
	// Moves counts the orders after the warm-up by kind, WarmupMoves those before.
	Moves       map[string]int
	WarmupMoves int
	// Overcommitted is the highest overcommitment of an engine's memory, in bytes.
	Overcommitted int64
	Timeline      []Point
}

// pointInterval is the length of the interval of a Point.
const pointInterval = 10 * time.Second

// MoveCount returns the number of moves after the warm-up.
func (r Result) MoveCount() int {
	sum := 0
	for _, count := range r.Moves {
		sum += count
	}
	return sum
}

func (s *simulation) result() Result {
	d := s.experiment.Deployment
	r := Result{
		Deployment: d.Name, Case: s.experiment.Name, Policy: s.policy.String(), Seed: s.experiment.Seed,
		ByClass: map[string]Tally{}, Moves: map[string]int{},
		Accelerators: d.Engines * d.Accelerators, Overcommitted: s.overcommitted,
	}
	for _, c := range s.calls {
		if c.at < s.experiment.Warmup {
			continue
		}
		count := c.tally()
		r.Total = r.Total.add(count)
		r.ByClass[c.request.Class.Name] = r.ByClass[c.request.Class.Name].add(count)
		if c.heavy {
			r.Heavy = r.Heavy.add(count)
		} else {
			r.Light = r.Light.add(count)
		}
	}
	for _, m := range s.moves {
		if m.at.Before(epoch.Add(s.experiment.Warmup)) {
			r.WarmupMoves++
			continue
		}
		r.Moves[m.kind]++
	}
	r.PerAccelerator = r.Total.Attainment() / float64(r.Accelerators)
	r.Timeline = s.timeline()
	return r
}

func (s *simulation) timeline() []Point {
	var points []Point
	for at := time.Duration(0); at < s.experiment.Length; at += pointInterval {
		var sum Tally
		for _, c := range s.calls {
			if c.at >= at && c.at < at+pointInterval {
				sum = sum.add(c.tally())
			}
		}
		points = append(points, Point{At: at, Attainment: sum.Attainment()})
	}
	return points
}

func (c *call) tally() Tally {
	t := Tally{Requests: 1}
	switch c.outcome {
	case finished:
		if c.metTarget() {
			t.Met = 1
		} else {
			t.Late = 1
		}
	case targetMissed:
		t.Hopeless = 1
	case overloaded:
		t.Overloaded = 1
	case noUpstream:
		t.NoUpstream = 1
	case failed:
		t.Failed = 1
	case pending:
		t.Lost = 1
	}
	if c.finalAnswers > 1 {
		t.Doubled = 1
	}
	return t
}

func (t Tally) add(other Tally) Tally {
	return Tally{
		Requests: t.Requests + other.Requests, Met: t.Met + other.Met, Late: t.Late + other.Late,
		Hopeless: t.Hopeless + other.Hopeless, Overloaded: t.Overloaded + other.Overloaded,
		NoUpstream: t.NoUpstream + other.NoUpstream, Failed: t.Failed + other.Failed,
		Lost: t.Lost + other.Lost, Doubled: t.Doubled + other.Doubled, Cut: t.Cut + other.Cut,
	}
}
