package claimer

import "time"

// Limits of the table. They are part of the replicated state machine: all
// members of a group must use the same values.
const (
	// MaxAnswerBytes is the maximum size of a stored answer, header and body.
	MaxAnswerBytes = 64 << 10
	// MaxStoredBytes is the maximum total size of stored answers. Beyond it the
	// oldest answers are dropped and a resend gets AnswerDropped.
	MaxStoredBytes = 32 << 20
	// MaxClaims is the maximum number of records, including those whose answer
	// was dropped.
	MaxClaims = 1 << 17
	// MaxKeyBytes is the maximum length of subscriber and key name together.
	MaxKeyBytes = 512
	// MaxAttemptBytes is the maximum length of attempt and entry name together.
	MaxAttemptBytes = 256
	// MaxReleasedAttempts is the maximum number of released attempts stored for
	// one key.
	MaxReleasedAttempts = 32
	// MaxHoldTime is the maximum time from grant to deadline.
	MaxHoldTime = time.Hour
	// AnswerRetention is how long an answer is stored after the finish.
	AnswerRetention = time.Hour
	// ClaimRetention is how long a record is stored after the grant.
	ClaimRetention = 24 * time.Hour
	// ClockMargin is the tolerated skew between a caller's clock and the stamps.
	ClockMargin = 5 * time.Minute
)
