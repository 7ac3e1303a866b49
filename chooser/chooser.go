// Package chooser waits for an upstream for a request, and for one that holds the
// model or adapter that it asks for.
package chooser

import (
	"context"
	"errors"
	"time"

	"burdocklink/admitter"
	"burdocklink/linker"
	"burdocklink/router"
)

// Holders brings about that a model or adapter is held somewhere.
type Holders interface {
	// Want asks for a holder and waits until there may be one. It returns an
	// *AbsentError where none will be there in time.
	Want(ctx context.Context, service, model, adapter string, by time.Time) error
}

// AbsentError says that no upstream holds a model or adapter in time.
type AbsentError struct {
	Model string
	// RetryAt is when one is expected to.
	RetryAt time.Time
}

// Error names the model.
func (e *AbsentError) Error() string { return "no upstream holds " + e.Model }

// Requirement is what a request needs an upstream to hold.
type Requirement struct {
	Service string
	// Model is empty where any upstream of the service will do.
	Model   string
	Adapter string
	// Deadline is the latest useful time of a grant.
	Deadline time.Time
}

// Acquire asks for an upstream once. Counted is true where the request was asked
// for before.
type Acquire func(ctx context.Context, counted bool) (*admitter.Grant, error)

const (
	// holderPollInterval is the wait before a holder is looked for again that the control
	// group knows of and that can't be reached.
	holderPollInterval = 50 * time.Millisecond
	// absentRetryDelay is the time in which the group notices that.
	absentRetryDelay = time.Second
)

// Choose waits for an upstream, and for one that holds what is wanted. It returns
// an *AbsentError where none will in time, or else what acquire and the context
// return.
func Choose(ctx context.Context, holders Holders, requirement Requirement, acquire Acquire) (*admitter.Grant, error) {
	for attempts := 0; ; attempts++ {
		grant, err := acquire(ctx, attempts > 0)
		var noUpstream *router.NoUpstreamError
		if !errors.As(err, &noUpstream) || requirement.Model == "" {
			return grant, err
		}
		if attempts > 0 && !linker.Pause(ctx, holderPollInterval) {
			return nil, context.Cause(ctx)
		}
		if time.Now().After(requirement.Deadline) {
			return nil, &AbsentError{Model: requirement.Model, RetryAt: time.Now().Add(absentRetryDelay)}
		}
		if err := holders.Want(ctx, requirement.Service, requirement.Model, requirement.Adapter, requirement.Deadline); err != nil {
			return nil, err
		}
	}
}
