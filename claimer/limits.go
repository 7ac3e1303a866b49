package claimer

import "time"

// Limits of the table. They are part of the replicated state machine: every
// member of a group runs with the same values.
const (
	// MaxAnswerBytes is the largest answer, header and body, that is kept.
	MaxAnswerBytes = 64 << 10
	// MaxStoredBytes is the total of all kept answers; beyond it the oldest
	// answers are dropped and a resend gets AnswerDropped.
	MaxStoredBytes = 32 << 20
	// MaxClaims is the number of claims held, finished and forgotten bodies
	// included.
	MaxClaims = 1 << 17
	// MaxKeyBytes is the largest subscriber and key name together.
	MaxKeyBytes = 512
	// MaxAttemptBytes is the largest attempt and entry name together.
	MaxAttemptBytes = 256
	// MaxReleasedAttempts is the number of released attempts of one key that may be
	// remembered at a time.
	MaxReleasedAttempts = 32
	// MaxHoldTime is the longest time from grant to deadline.
	MaxHoldTime = time.Hour
	// AnswerRetention is the time from finish to the end of an answer's keeping.
	AnswerRetention = time.Hour
	// ClaimRetention is the time from grant to the end of a claim's remembrance.
	ClaimRetention = 24 * time.Hour
	// ClockMargin is how far a caller's clock may differ from the stamps.
	ClockMargin = 5 * time.Minute
)
