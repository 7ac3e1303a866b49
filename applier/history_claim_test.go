package applier_test

import (
	"fmt"
	"strconv"
	"time"

	"burdocklink/applier"
	"burdocklink/claimer"
)

// holder is one attempt of an entry. It may pause for any time before it
// dispatches, and does not check its deadline again after the grant.
type holder struct {
	open     claimer.Open
	granted  bool
	released bool
	ran      bool
}

// claimOracle tracks how often each request ran and compares the claim table's
// results with it.
type claimOracle struct {
	sim     *simulation
	runs    map[claimer.Key]int
	answers map[claimer.Key]string
	unknown map[claimer.Key]bool
	// notRun holds attempts whose callers got the answer that the request did not run.
	notRun  map[string]bool
	issued  map[claimer.Key]time.Time
	holders []*holder
	calls   int
}

func newClaimOracle(sim *simulation) *claimOracle {
	return &claimOracle{
		sim:     sim,
		runs:    map[claimer.Key]int{},
		answers: map[claimer.Key]string{},
		unknown: map[claimer.Key]bool{},
		notRun:  map[string]bool{},
		issued:  map[claimer.Key]time.Time{},
	}
}

func (o *claimOracle) act() {
	switch o.sim.rand.IntN(6) {
	case 0, 1:
		o.call()
	case 2:
		o.sim.propose(applier.Claim{Event: claimer.Expire{}}, nil)
	default:
		o.advanceHolder()
	}
}

// call sends a request, possibly a repeated one.
func (o *claimOracle) call() {
	key := claimer.Key{Subscriber: "s" + strconv.Itoa(o.sim.rand.IntN(2)), Name: strconv.Itoa(o.sim.rand.IntN(3))}
	if _, known := o.issued[key]; !known {
		o.issued[key] = o.sim.now
	}
	o.calls++
	h := &holder{open: claimer.Open{
		Key:      key,
		Digest:   [32]byte{1},
		Attempt:  strconv.Itoa(o.calls),
		Entry:    "entry",
		Deadline: o.sim.now.Add(time.Duration(1+o.sim.rand.IntN(30)) * time.Second),
		Issued:   o.issued[key],
	}}
	if o.sim.chance(20) {
		h.open.Digest = [32]byte{2}
	}
	o.holders = append(o.holders, h)
	o.sim.propose(applier.Claim{Event: h.open}, func(result applier.Result) {
		if _, granted := result.(applier.ClaimResult).Result.(claimer.Granted); granted && !h.released {
			h.granted = true
		}
	})
}

// advanceHolder performs the next action of a random holder.
func (o *claimOracle) advanceHolder() {
	if len(o.holders) == 0 {
		return
	}
	h := o.holders[o.sim.rand.IntN(len(o.holders))]
	switch {
	case h.ran && o.sim.chance(4):
		o.send(claimer.MarkUnknown{Key: h.open.Key, Attempt: h.open.Attempt})
	case h.ran:
		answer := claimer.Answer{Status: 200, Body: []byte(o.answers[h.open.Key])}
		if o.sim.chance(10) {
			answer.Body = make([]byte, claimer.MaxAnswerBytes+1)
		}
		o.send(claimer.Finish{Key: h.open.Key, Attempt: h.open.Attempt, Answer: answer})
	case h.released || o.sim.chance(5):
		h.released = true
		o.send(claimer.Release{Key: h.open.Key, Attempt: h.open.Attempt})
	case h.granted:
		o.dispatch(h)
	}
}

func (o *claimOracle) send(event claimer.Event) { o.sim.propose(applier.Claim{Event: event}, nil) }

func (o *claimOracle) dispatch(h *holder) {
	h.ran = true
	key := h.open.Key
	o.runs[key]++
	o.answers[key] = fmt.Sprint(key, h.open.Attempt)
	if o.runs[key] > 1 {
		o.sim.failf("%v ran %d times", key, o.runs[key])
	}
	if o.notRun[h.open.Attempt] {
		o.sim.failf("%v ran after not-run", key)
	}
}

// verify checks a result of the claim table.
func (o *claimOracle) verify(command applier.Command, result applier.Result) {
	claim, ok := command.(applier.Claim)
	if !ok {
		return
	}
	switch event := claim.Event.(type) {
	case claimer.Open:
		o.verifyOpen(event, result.(applier.ClaimResult).Result)
	case claimer.Release:
		if _, recorded := result.(applier.ClaimResult).Result.(claimer.Recorded); recorded {
			o.notRun[event.Attempt] = true
		}
	}
}

func (o *claimOracle) verifyOpen(open claimer.Open, result claimer.Result) {
	key := open.Key
	switch result := result.(type) {
	case claimer.Granted:
		switch {
		case o.unknown[key]:
			o.sim.failf("%v granted after its outcome was unknown", key)
		case o.notRun[open.Attempt]:
			o.sim.failf("%v granted to an attempt after its release", key)
		case o.sim.state.Stamp().Sub(o.issued[key]) > claimer.ClaimRetention:
			o.sim.failf("%v granted though issued before the retention period", key)
		}
	case claimer.Unknown:
		o.unknown[key] = true
	case claimer.Answered:
		if o.runs[key] != 1 || string(result.Answer.Body) != o.answers[key] {
			o.sim.failf("%v answered %q, ran %d times with %q", key, result.Answer.Body, o.runs[key], o.answers[key])
		}
	case claimer.AnswerDropped:
		if o.runs[key] != 1 {
			o.sim.failf("%v has an answer dropped, ran %d times", key, o.runs[key])
		}
	}
}
