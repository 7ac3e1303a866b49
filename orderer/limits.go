package orderer

import "time"

// Limits of the ledger. They are part of the replicated state machine: every
// member of a group runs with the same values.
const (
	// MaxOrderLifetime is the longest time from intent to NotAfter.
	MaxOrderLifetime = 10 * time.Minute
	// MaxLoadTime is how long after its NotAfter an unsettled load still takes
	// part of what the store allows. A dead upstream that stays listed must
	// not block the loads that restore what it held.
	MaxLoadTime = 2 * time.Minute
	// ClockMargin is how far an upstream's clock may differ from the stamps.
	ClockMargin = 5 * time.Second
	// MaxUnsettled is the number of unsettled orders of one upstream that
	// checks fences. One that does not check has at most one.
	MaxUnsettled = 8
	// MaxLate is the number of orders of one upstream whose duplicates are
	// not ruled out.
	MaxLate = 256
	// MaxTokenBytes is the longest token.
	MaxTokenBytes = 128
)

// DefaultLimits returns the limits that hold until a Limit sets others.
func DefaultLimits() StoreLimits {
	return StoreLimits{LoadsPerSecond: 1, LoadsAtOnce: 4, AdaptersInTransit: 32}
}

// interval is the time between two loads that keeps the rate.
func (l StoreLimits) interval() time.Duration {
	return time.Duration(float64(time.Second) / l.LoadsPerSecond)
}

// invalidReason says what is wrong with the limits, or nothing.
func (l StoreLimits) invalidReason() string {
	switch {
	case !(l.LoadsPerSecond >= minLoadsPerSecond && l.LoadsPerSecond <= maxLoadsPerSecond):
		return "loads per second out of range"
	case l.LoadsAtOnce < 1:
		return "loads at once below one"
	case l.AdaptersInTransit < 1:
		return "adapters in transit below one"
	default:
		return ""
	}
}

// bounds of StoreLimits.LoadsPerSecond.
const (
	minLoadsPerSecond = 0.001
	maxLoadsPerSecond = 1e6
)
