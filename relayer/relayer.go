package relayer

import (
	"context"
	"errors"
	"time"
)

// Source reads the events of one stream.
type Source interface {
	Next() (Event, error)
	// Buffered reports whether at least a part of the next event has arrived.
	Buffered() bool
	// RequestID returns the request ID sent to the engine, empty if none was.
	RequestID() string
	Close()
}

// Engines opens streams.
type Engines interface {
	// Open starts the answer on an engine, or continues it from the part that
	// the caller has.
	Open(ctx context.Context, from Prefix) (Source, error)
	// Resume continues the stream of the last opened engine after the event with
	// the given ID. The error is an *UnknownStreamError if that engine does not
	// know the stream.
	Resume(ctx context.Context, after uint64) (Source, error)
}

// Sink sends the answer to the caller.
type Sink interface {
	Send(event Event) error
	// Flush flushes buffered events to the caller.
	Flush() error
}

// Delays after a failed resume, so that the engine can recover.
const (
	firstResumeDelay = 50 * time.Millisecond
	laterResumeDelay = 250 * time.Millisecond
)

// Relay forwards one answer. It returns nil once the caller has the complete
// answer. The error is a *CallerError if the answer could not be sent to the
// caller, and the cause if it could not be completed.
func Relay(ctx context.Context, engines Engines, sink Sink) error {
	relay := &relay{core: NewCore(), engines: engines, sink: sink}
	defer relay.close()
	return relay.run(ctx)
}

type relay struct {
	core    *Core
	engines Engines
	sink    Sink
	source  Source
	outputs []Output
}

func (r *relay) run(ctx context.Context) error {
	if err := r.open(ctx, Prefix{}); err != nil {
		return err
	}
	for {
		done, err := r.perform(ctx, r.core.Step(r.next(ctx), r.outputs[:0]))
		if done || err != nil {
			return err
		}
	}
}

// contextCause returns the cause of the context's end, or err if it has not
// ended.
func contextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// next waits for the next event and returns it as an input.
func (r *relay) next(ctx context.Context) Input {
	if r.source == nil || ctx.Err() != nil {
		return Interrupted{}
	}
	event, err := r.source.Next()
	if err != nil {
		return Interrupted{}
	}
	return Received{Event: event}
}

func (r *relay) perform(ctx context.Context, outputs []Output) (bool, error) {
	r.outputs = outputs
	done := false
	for _, output := range outputs {
		switch output := output.(type) {
		case Send:
			if err := r.sink.Send(output.Event); err != nil {
				return false, &CallerError{Cause: err}
			}
		case Resume:
			return r.resume(ctx, output.After)
		case Continue:
			return false, r.open(ctx, output.From)
		case Fail:
			return false, contextCause(ctx, output.Cause)
		case Complete:
			done = true
		}
	}
	return done, r.flush(done)
}

// flush flushes the sink unless more events have already arrived.
func (r *relay) flush(done bool) error {
	if len(r.outputs) == 0 || (!done && r.source.Buffered()) {
		return nil
	}
	if err := r.sink.Flush(); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

func (r *relay) resume(ctx context.Context, after uint64) (bool, error) {
	r.close()
	if err := context.Cause(ctx); err != nil {
		return false, err
	}
	source, err := r.engines.Resume(ctx, after)
	var unknown *UnknownStreamError
	if errors.As(err, &unknown) {
		return r.perform(ctx, r.core.Step(StreamUnknown{}, nil))
	}
	if err != nil {
		if err := r.pause(ctx); err != nil {
			return false, err
		}
		return r.perform(ctx, r.core.Step(ResumeFailed{}, nil))
	}
	r.source = source
	return false, nil
}

func (r *relay) open(ctx context.Context, from Prefix) error {
	r.close()
	if err := context.Cause(ctx); err != nil {
		return err
	}
	source, err := r.engines.Open(ctx, from)
	if err != nil {
		return err
	}
	r.source = source
	r.core.Step(Opened{RequestID: source.RequestID()}, nil)
	return nil
}

// pause waits before the next attempt, longer after repeated interruptions.
func (r *relay) pause(ctx context.Context) error {
	delay := firstResumeDelay
	if r.core.breaks > 1 {
		delay = laterResumeDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (r *relay) close() {
	if r.source != nil {
		r.source.Close()
		r.source = nil
	}
}
