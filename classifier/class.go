// Package classifier describes classes of work and decides which class and
// which subscriber a request belongs to.
package classifier

import "time"

// Target is what an operator promises for a class. A zero field is not
// promised.
type Target struct {
	// FirstToken is the longest wait for the first token.
	FirstToken time.Duration
	// BetweenTokens is the longest mean gap between two tokens.
	BetweenTokens time.Duration
	// Whole is the longest wait for the complete answer.
	Whole time.Duration
}

// Class is a kind of work that operators steer by its target.
type Class struct {
	// Name identifies the class in requests and settings.
	Name string
	// Target is what the class is promised.
	Target Target
	// RepeatForbidden is true where a request may run at most once.
	RepeatForbidden bool
}

// Urgency returns the shortest promised time of the class, which orders
// classes against each other. A class without a target returns the largest
// duration.
func (c Class) Urgency() time.Duration {
	shortest := time.Duration(1<<63 - 1)
	for _, promised := range []time.Duration{c.Target.FirstToken, c.Target.Whole} {
		if promised > 0 && promised < shortest {
			shortest = promised
		}
	}
	return shortest
}
