// Package router chooses the upstream for one request. Choose uses no clock and
// does not allocate.
package router

import "time"

// Request is what the choice depends on.
type Request struct {
	// Service names the upstream group; Holds is the model or adapter that
	// the upstream must hold, empty for plain services.
	Service string
	Model   string
	// BaseModel is the base model of an adapter, or Holds itself.
	BaseModel string
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens int
	AnswerTokens int
	// Prefixes are the beginnings of the prompt that other requests may share, the
	// shortest first.
	Prefixes []Prefix
	// FirstTokenBy is when the class promises the first token.
	FirstTokenBy time.Time
	// AvailabilityZone is that of the entry that sends the request; empty for the
	// chooser's own.
	AvailabilityZone string
	// Thorough is true where all candidates up to a few dozen are compared: who
	// knows of all requests for a model gains by it.
	Thorough bool
	// Avoid lists upstreams already tried.
	Avoid []string
	// OverFairShare is true where the subscriber has used more than its fair share:
	// the request leaves room on upstreams that others had to wait for.
	OverFairShare bool
	// Seed varies the sampled candidates from request to request.
	Seed uint64
}

// Choice is the upstream to send to.
type Choice struct {
	Upstream    string
	Incarnation string
	Address     string
	// CachedTokens is the part of the prompt that the upstream is believed to
	// keep.
	CachedTokens int
	// PredictedFirstToken is when the first token is expected.
	PredictedFirstToken time.Time
	// PermitExpiresAt is until when the request may be sent to an upstream that limits
	// its requests; zero where none is needed.
	PermitExpiresAt time.Time
}

// NoUpstreamError says that no live upstream holds what is asked for.
type NoUpstreamError struct {
	Service, Model string
	// RetryAt is when a new try makes sense.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *NoUpstreamError) Error() string { return "no upstream can take the request" }

// PausedError says that every upstream that could serve asked for a pause.
type PausedError struct {
	Service, Model string
	// RetryAt is after the end of the first pause, spread over the callers.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *PausedError) Error() string { return "upstreams want no requests for a time" }

// SaturatedError says that every upstream looked at is at its limit.
type SaturatedError struct {
	Service, Model string
	// RetryAt is when room is expected.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *SaturatedError) Error() string { return "upstreams are at their limits" }

// RateLimitedError says that upstreams could serve but for their limits of requests
// a second.
type RateLimitedError struct {
	Service, Model string
	// RetryAt is when one of them may take one more request.
	RetryAt time.Time
	// PerSecond is how many requests a second they take from all VMs together.
	PerSecond float64
}

// Error describes the refusal.
func (e *RateLimitedError) Error() string { return "upstreams take no more requests a second" }

// TimeFor is how long the upstreams need to take so many requests.
func (e *RateLimitedError) TimeFor(requests int) time.Duration {
	if e.PerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(requests) / e.PerSecond * float64(time.Second))
}
