// Package admitter decides when a request may go to an upstream: a queue by
// time left to the class target, fair shares per subscriber while there is
// contention, and refusals that are answered at once. The core is pure; a thin
// driver with one goroutine gives it the time and the callers.
package admitter

import (
	"time"

	"burdocklink/classifier"
	"burdocklink/router"
)

// Request asks for an upstream.
type Request struct {
	Subscriber string
	Class      classifier.Class
	// Rank is the importance that operators gave to the route, 0 for the highest.
	Rank int
	// Arrived is when the request reached the entry.
	Arrived time.Time
	// Deadline is the caller's own, zero if there is none.
	Deadline time.Time
	// UsefulUntil is the latest useful time of a first token; zero where the
	// class's target is.
	UsefulUntil time.Time
	// Route is what the choice of the upstream depends on. Its FirstTokenBy
	// and Avoid are filled in by the admitter.
	Route router.Request
	// Counted is true where the request has been admitted before and nobody held
	// what it asks for. It is one request still.
	Counted bool
}

// targetBy returns when the class promises the first token, or the whole
// answer of a class that promises only that. It is zero where the class
// promises neither.
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

// giveUpBy returns the latest useful time of a start, zero where there is
// none.
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

// Result is how a granted request ended.
type Result struct {
	Ended time.Time
	// Tokens is the length of the answer.
	Tokens  int
	Outcome router.Outcome
}
