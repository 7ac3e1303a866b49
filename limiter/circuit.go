package limiter

import "time"

// Parameters of the circuit breaker.
const (
	// failuresToOpen is the number of consecutive connection failures that open it.
	failuresToOpen = 3
	// initialBackoff is the first backoff of an open circuit. Each further failure
	// doubles it, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// Circuit is a circuit breaker that keeps new requests from an unreachable
// upstream. The zero value is closed.
type Circuit struct {
	failures int
	backoff  time.Duration
	// RetryAt is when the next attempt is allowed; zero while closed.
	RetryAt time.Time
}

// Allows reports whether a request may be attempted now.
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

// Attempted delays the next allowed attempt, so that an open circuit lets through
// one request at a time.
func (c *Circuit) Attempted(now time.Time) {
	if c.failures >= failuresToOpen {
		c.RetryAt = now.Add(c.backoff)
	}
}

// Succeeded closes the circuit.
func (c *Circuit) Succeeded() { *c = Circuit{} }
