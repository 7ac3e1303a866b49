// Package admitter implements admission control: a queue ordered by time left to
// the class target, fair shares per subscriber under contention, and immediate
// refusal of requests that can't be served in time. Queue is the deterministic
// core; Admitter runs it on one goroutine and connects it to the clock and the
// callers.
package admitter

import (
	"time"

	"burdocklink/classifier"
	"burdocklink/router"
)

// Request asks for an upstream.
type Request struct {
	Subscriber string
	// Weight is the part of the room that the subscriber is entitled to, relative to
	// others; zero if all are entitled to the same.
	Weight float64
	Class  classifier.Class
	// Rank is the importance of the route as configured by operators; 0 is the
	// highest.
	Rank int
	// Arrived is when the request reached the entry.
	Arrived time.Time
	// Deadline is set by the caller; zero if there is none.
	Deadline time.Time
	// UsefulUntil is the latest useful time of the first token; zero means the
	// class target.
	UsefulUntil time.Time
	// Route selects the upstream. The admitter sets its FirstTokenBy and Avoid.
	Route router.Request
	// Counted is true if the request has been admitted before and no upstream held
	// its model. It must not count as new demand.
	Counted bool
}

// targetBy returns the target time of the first token or, for classes without such
// a target, of the whole answer. It returns zero if the class has neither.
func (r *Request) targetBy() time.Time {
	target := r.Class.Target.FirstToken
	if target <= 0 {
		target = r.Class.Target.Whole
	}
	if target <= 0 {
		return time.Time{}
	}
	return r.Arrived.Add(target)
}

// giveUpBy returns the latest useful start time, or zero if there is none.
func (r *Request) giveUpBy() time.Time {
	by := r.UsefulUntil
	if by.IsZero() {
		by = r.targetBy()
	}
	if by.IsZero() || (!r.Deadline.IsZero() && r.Deadline.Before(by)) {
		by = r.Deadline
	}
	return by
}

// Result describes how a granted request ended.
type Result struct {
	Ended time.Time
	// Tokens is the number of answer tokens.
	Tokens  int
	Outcome router.Outcome
}
