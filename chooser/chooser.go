// Package chooser waits for an upstream that can serve a request and holds the model or
// adapter it needs.
package chooser

import (
	"context"
	"errors"
	"time"

	"burdocklink/admitter"
	"burdocklink/linker"
	"burdocklink/router"
)

// Holders has models and adapters loaded.
type Holders interface {
	// Want asks for a holder that meets the requirement and waits until there may be one.
	// It returns an *AbsentError if there will be none before the deadline.
	Want(ctx context.Context, requirement Requirement) error
}

// AbsentError reports that no upstream will hold a model or adapter in time.
type AbsentError struct {
	Model string
	// RetryAt is when one is expected to.
	RetryAt time.Time
}

// Error describes the failure.
func (e *AbsentError) Error() string { return "no upstream holds " + e.Model }

// Requirement is what a request needs an upstream to hold.
type Requirement struct {
	Service string
	// Model is empty if any upstream of the service will do.
	Model   string
	Adapter string
	// Origin is the upstream that began the stream to be continued; zero for a new request.
	Origin router.Origin
	// Deadline is the latest time at which a grant is useful.
	Deadline time.Time
}

// attainable reports whether another upstream may be made to meet the requirement. A stream
// of unknown software goes on only where it began.
func (r Requirement) attainable() bool {
	return r.Model != "" && (r.Origin.IsZero() || r.Origin.Software != "")
}

// Acquire makes one attempt to acquire an upstream. Counted is set if an earlier
// attempt has already counted the request.
type Acquire func(ctx context.Context, counted bool) (*admitter.Grant, error)

const (
	// holderPollInterval is the delay between attempts to reach a holder that the
	// control group knows of but that is unreachable.
	holderPollInterval = 50 * time.Millisecond
	// absentRetryDelay is the time in which the control group detects that.
	absentRetryDelay = time.Second
)

// Choose waits for an upstream that meets the requirement. It returns an *AbsentError
// if none will in time, and otherwise what acquire and the context return.
func Choose(ctx context.Context, holders Holders, requirement Requirement, acquire Acquire) (*admitter.Grant, error) {
	for attempts := 0; ; attempts++ {
		grant, err := acquire(ctx, attempts > 0)
		var noUpstream *router.NoUpstreamError
		if !errors.As(err, &noUpstream) || !requirement.attainable() {
			return grant, err
		}
		if attempts > 0 && !linker.Sleep(ctx, holderPollInterval) {
			return nil, context.Cause(ctx)
		}
		if time.Now().After(requirement.Deadline) {
			return nil, &AbsentError{Model: requirement.Model, RetryAt: time.Now().Add(absentRetryDelay)}
		}
		if err := holders.Want(ctx, requirement); err != nil {
			return nil, err
		}
	}
}
