package experimenter

import (
	"time"
)

// Tally counts requests by how they ended.
type Tally struct {
	Requests   int
	Met        int
	Late       int
	Hopeless   int
	Overloaded int
	NoUpstream int
	Failed     int
	// Lost requests never got a final answer.
	Lost int
	// Doubled requests got more than one.
	Doubled int
	// Cut answers looked complete and were not.
	Cut int
}

// Attainment is the share of requests that met their target.
func (t Tally) Attainment() float64 {
	if t.Requests == 0 {
		return 0
	}
	return float64(t.Met) / float64(t.Requests)
}

// Point is the attainment of the requests that arrived in one span.
type Point struct {
	// At is the start of the span after the start of the run.
	At         time.Duration
	Attainment float64
}

// Result is what a run gave.
type Result struct {
	Deployment string
	Case       string
	Policy     string
	Seed       uint64
	Total      Tally
	ByClass    map[string]Tally
	// Light and Heavy are by subscriber; Heavy is empty where all are even.
	Light Tally
	Heavy Tally
	// PerAccelerator is the attainment divided by the accelerators.
	PerAccelerator float64
	Accelerators   int
	// Moves counts the orders after the warm-up, by kind.
	Moves       map[string]int
	WarmupMoves int
	// Overcommitted is the most bytes an engine was over its memory.
	Overcommitted int64
	Timeline      []Point
}

// span of one point of the timeline.
const span = 10 * time.Second

// MoveCount returns the number of moves after the warm-up.
func (r Result) MoveCount() int {
	sum := 0
	for _, count := range r.Moves {
		sum += count
	}
	return sum
}

func (s *simulation) result() Result {
	d := s.c.Deployment
	r := Result{
		Deployment: d.Name, Case: s.c.Name, Policy: s.policy.String(), Seed: s.c.Seed,
		ByClass: map[string]Tally{}, Moves: map[string]int{},
		Accelerators: d.Engines * d.Accelerators, Overcommitted: s.overcommitted,
	}
	for _, c := range s.calls {
		if c.at < s.c.Warmup {
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
		if m.at.Before(epoch.Add(s.c.Warmup)) {
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
	for at := time.Duration(0); at < s.c.Length; at += span {
		var sum Tally
		for _, c := range s.calls {
			if c.at >= at && c.at < at+span {
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
		if c.met() {
			t.Met = 1
		} else {
			t.Late = 1
		}
	case hopeless:
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
	if c.decided > 1 {
		t.Doubled = 1
	}
	return t
}

func (t Tally) add(o Tally) Tally {
	return Tally{
		Requests: t.Requests + o.Requests, Met: t.Met + o.Met, Late: t.Late + o.Late,
		Hopeless: t.Hopeless + o.Hopeless, Overloaded: t.Overloaded + o.Overloaded,
		NoUpstream: t.NoUpstream + o.NoUpstream, Failed: t.Failed + o.Failed,
		Lost: t.Lost + o.Lost, Doubled: t.Doubled + o.Doubled, Cut: t.Cut + o.Cut,
	}
}
