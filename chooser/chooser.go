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
	// Retry is when one is expected to.
	Retry time.Time
}

// Error names the model.
func (e *AbsentError) Error() string { return "no upstream holds " + e.Model }

// Wanted is what a request needs an upstream to hold.
type Wanted struct {
	Service string
	// Model is empty where any upstream of the service will do.
	Model   string
	Adapter string
	// By is the latest useful time of a grant.
	By time.Time
}

// Acquire asks for an upstream once. Counted is true where the request was asked
// for before.
type Acquire func(ctx context.Context, counted bool) (*admitter.Grant, error)

const (
	// holderPause is the wait before a holder is looked for again that the control
	// group knows of and that can't be reached.
	holderPause = 50 * time.Millisecond
	// holderRetry is the time in which the group notices that.
	holderRetry = time.Second
)

// Choose waits for an upstream, and for one that holds what is wanted. It returns
// an *AbsentError where none will in time, or else what acquire and the context
// return.
func Choose(ctx context.Context, holders Holders, wanted Wanted, acquire Acquire) (*admitter.Grant, error) {
	for looks := 0; ; looks++ {
		grant, err := acquire(ctx, looks > 0)
		var nowhere *router.NoUpstreamError
		if !errors.As(err, &nowhere) || wanted.Model == "" {
			return grant, err
		}
		if looks > 0 && !linker.Pause(ctx, holderPause) {
			return nil, context.Cause(ctx)
		}
		if time.Now().After(wanted.By) {
			return nil, &AbsentError{Model: wanted.Model, Retry: time.Now().Add(holderRetry)}
		}
		if err := holders.Want(ctx, wanted.Service, wanted.Model, wanted.Adapter, wanted.By); err != nil {
			return nil, err
		}
	}
}
