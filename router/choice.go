// Package router chooses the upstream for one request. Choose uses no clock and
// does not allocate.
package router

import (
	"time"

	"burdocklink/cataloger"
)

// Request describes the request that an upstream is chosen for.
type Request struct {
	// Service names the upstream group. Model is the model or adapter that the upstream
	// must hold, empty for plain services.
	Service string
	Model   string
	// BaseModel is the base model of an adapter, or Model itself.
	BaseModel string
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens int
	AnswerTokens int
	// Prefixes are the prompt prefixes that other requests may share, shortest first.
	Prefixes []Prefix
	// FirstTokenBy is the time by which the request's class promises the first token.
	FirstTokenBy time.Time
	// AvailabilityZone is the zone of the entry that sends the request; empty for the
	// router's own.
	AvailabilityZone string
	// Thorough compares all candidates, up to thoroughCandidates, instead of a sample.
	// It pays off on an entry that sees all requests for a model.
	Thorough bool
	// Origin is the upstream that began the stream to be continued; zero for a new request.
	Origin Origin
	// Avoid lists upstreams already tried.
	Avoid []string
	// OverFairShare is set if the subscriber has used more than its fair share. Such a
	// request leaves room on upstreams that others had to wait for.
	OverFairShare bool
	// Seed varies the sampled candidates from request to request.
	Seed uint64
}

// Origin identifies the software that began a stream. The zero value means that no stream
// has begun.
type Origin struct {
	// Software is the version, empty if unknown. Unknown versions are never equal.
	Software string
	// Incarnation is the upstream's.
	Incarnation string
}

// IsZero reports whether no stream has begun.
func (o Origin) IsZero() bool { return o == Origin{} }

// admits reports whether a stream may continue at an upstream.
func (o Origin) admits(info *cataloger.Upstream) bool {
	if o.IsZero() || o.Incarnation == info.Incarnation {
		return true
	}
	return o.Software != "" && o.Software == info.Software
}

// Origin returns the origin of a stream that the upstream begins.
func (c Choice) Origin() Origin { return Origin{Software: c.Software, Incarnation: c.Incarnation} }

// Stream is where a stream began.
type Stream struct {
	Service string
	Origin  Origin
}

// Choice is the upstream to send a request to.
type Choice struct {
	Upstream    string
	Incarnation string
	Address     string
	// Software is the version of the upstream's software; empty if unknown.
	Software string
	// CachedTokens is the length of the prompt prefix that the upstream is expected to
	// have in its prefix cache.
	CachedTokens int
	// PredictedFirstToken is when the first token is expected.
	PredictedFirstToken time.Time
	// PermitExpiresAt is when the permit to send to a rate-limited upstream expires;
	// zero if none is needed.
	PermitExpiresAt time.Time
}

// NoUpstreamError reports that no live upstream holds the requested model.
type NoUpstreamError struct {
	Service, Model string
	// RetryAt is when a retry makes sense.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *NoUpstreamError) Error() string { return "no upstream can take the request" }

// OriginGoneError reports that no live upstream runs the software that began a stream.
type OriginGoneError struct {
	Service string
	Origin  Origin
}

// Error describes the refusal.
func (e *OriginGoneError) Error() string {
	return "no upstream runs the software that began the stream"
}

// PausedError reports that every upstream that could serve the request is paused.
type PausedError struct {
	Service, Model string
	// RetryAt is after the end of the earliest pause, spread over the callers.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *PausedError) Error() string { return "upstreams want no requests for a time" }

// SaturatedError reports that every upstream considered is at its concurrency limit.
type SaturatedError struct {
	Service, Model string
	// RetryAt is when an upstream is expected to have room.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *SaturatedError) Error() string { return "upstreams are at their limits" }

// RateLimitedError reports that upstreams could serve the request but for their rate
// limits.
type RateLimitedError struct {
	Service, Model string
	// RetryAt is when one of them may accept one more request.
	RetryAt time.Time
	// PerSecond is the rate limit of these upstreams in requests per second, over all
	// VMs.
	PerSecond float64
}

// Error describes the refusal.
func (e *RateLimitedError) Error() string { return "upstreams take no more requests a second" }

// TimeFor returns how long the upstreams need to accept the given number of requests.
func (e *RateLimitedError) TimeFor(requests int) time.Duration {
	if e.PerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(requests) / e.PerSecond * float64(time.Second))
}
