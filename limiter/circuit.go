package limiter

import "time"

// Circuit opening.
const (
	// failuresToOpen is how many connection failures in a row open it.
	failuresToOpen = 3
	// initialBackoff is the first wait of an open circuit, and longestRetry the
	// longest; each further failure doubles it.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// Circuit keeps new work from an upstream that cannot be reached. The zero
// value is closed.
type Circuit struct {
	failures int
	backoff  time.Duration
	// RetryAt is when the next try is allowed; zero while closed.
	RetryAt time.Time
}

// Allows says whether a request may be tried now.
func (c *Circuit) Allows(now time.Time) bool { return !now.Before(c.RetryAt) }

// Failed counts a connection failure.
func (c *Circuit) Failed(now time.Time) {
	c.failures++
	if c.failures < failuresToOpen {
		return
	}
	c.backoff = min(max(2*c.backoff, initialBackoff), maxBackoff)
	c.RetryAt = now.Add(c.backoff)
}

// Attempted moves the next allowed try, so that an open circuit lets through one
// request at a time.
func (c *Circuit) Attempted(now time.Time) {
	if c.failures >= failuresToOpen {
		c.RetryAt = now.Add(c.backoff)
	}
}

// Succeeded closes the circuit.
func (c *Circuit) Succeeded() { *c = Circuit{} }
