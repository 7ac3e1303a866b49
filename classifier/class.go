// Package classifier defines classes of work and their targets.
package classifier

import "time"

// Target is what operators promise for a class. A zero field is not promised.
type Target struct {
	// FirstToken is the longest time to the first token.
	FirstToken time.Duration
	// BetweenTokens is the longest mean time between two tokens.
	BetweenTokens time.Duration
	// Whole is the longest time to the complete answer.
	Whole time.Duration
}

// Class is a kind of work with its own target.
type Class struct {
	// Name identifies the class in requests and settings.
	Name   string
	Target Target
	// RepeatForbidden is true if a request may run at most once.
	RepeatForbidden bool
}

// Urgency returns the shortest promised time to a first token or complete answer,
// by which classes are ordered. It returns the largest duration for a class that
// promises neither.
func (c Class) Urgency() time.Duration {
	shortest := time.Duration(1<<63 - 1)
	for _, promised := range []time.Duration{c.Target.FirstToken, c.Target.Whole} {
		if promised > 0 && promised < shortest {
			shortest = promised
		}
	}
	return shortest
}
