package claimer

import "time"

// Limits of the table. They are part of the replicated state machine: every
// member of a group runs with the same values.
const (
	// MaxAnswerBytes is the largest answer, header and body, that is kept.
	MaxAnswerBytes = 64 << 10
	// MaxKeptBytes is the total of all kept answers; beyond it the oldest
	// answers are dropped and a resend gets AnswerDropped.
	MaxKeptBytes = 32 << 20
	// MaxClaims is the number of claims held, finished and forgotten bodies
	// included.
	MaxClaims = 1 << 17
	// MaxKeyBytes is the largest subscriber and key name together.
	MaxKeyBytes = 512
	// MaxAttemptBytes is the largest attempt and entry name together.
	MaxAttemptBytes = 256
	// MaxReleased is the number of released attempts of one key that may be
	// remembered at a time.
	MaxReleased = 32
	// LongestHold is the longest time from grant to deadline.
	LongestHold = time.Hour
	// AnswerKept is the time from finish to the end of an answer's keeping.
	AnswerKept = time.Hour
	// ClaimKept is the time from grant to the end of a claim's remembrance.
	ClaimKept = 24 * time.Hour
	// ClockMargin is how far a caller's clock may differ from the stamps.
	ClockMargin = 5 * time.Minute
)
