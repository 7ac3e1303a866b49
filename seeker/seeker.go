// Package seeker has the control group bring a model or adapter to an engine
// where requests of this entry wait for one.
package seeker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/forwarder"
	"burdocklink/linker"
	"burdocklink/surveyor"
)

const (
	// answerTime is the longest wait for the leader's answer.
	answerTime = time.Second
	// retryPause is the wait before the leader is asked again after no answer.
	retryPause = 50 * time.Millisecond
	// lookPause is the longest wait before the leader is asked again for what is
	// on its way.
	lookPause = 250 * time.Millisecond
	// unknownRetry is when a caller should come back for what nobody promises:
	// after the time in which a group elects a leader.
	unknownRetry = time.Second
)

// Settings are what a seeker needs.
type Settings struct {
	Links *linker.Linker
	// Leader returns the leader's address as last heard, or an empty string.
	Leader func() string
	// Tell takes in what engines hold.
	Tell func([]surveyor.Told)
	Log  *zap.Logger
}

// Seeker is safe for concurrent use.
type Seeker struct {
	settings Settings

	mutex sync.Mutex
	// asking are the questions under way, by the router's name.
	asking map[string]*question
}

// question is one call that several requests wait for.
type question struct {
	done  chan struct{}
	reply *wire.WantReply
	err   error
}

// New returns a seeker.
func New(settings Settings) *Seeker {
	return &Seeker{settings: settings, asking: map[string]*question{}}
}

// Name is what the router calls a model or adapter of a service.
func (s *Seeker) Name(service, model, adapter string) string {
	return surveyor.HeldName(service, model, adapter)
}

// Want asks for a holder and waits until there is one. It returns a
// *forwarder.AbsentError where none will be there by a time, or the context's
// error.
func (s *Seeker) Want(ctx context.Context, service, model, adapter string, by time.Time) error {
	for {
		reply, err := s.askUntil(ctx, service, model, adapter, by)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		pause := retryPause
		switch {
		case err == nil && len(reply.GetHoldings()) > 0:
			s.settings.Tell(encoder.DecodeHoldings(reply.GetHoldings(), time.Now()))
			return nil
		case err == nil && reply.GetLeading() && reply.GetReadyInMs() >= 0:
			ready := time.Duration(reply.GetReadyInMs()) * time.Millisecond
			if time.Now().Add(ready).After(by) {
				return &forwarder.AbsentError{Model: model, Retry: time.Now().Add(ready)}
			}
			pause = min(lookPause, max(retryPause, ready))
		}
		if time.Now().Add(pause).After(by) {
			return &forwarder.AbsentError{Model: model, Retry: time.Now().Add(unknownRetry)}
		}
		if !linker.Pause(ctx, pause) {
			return context.Cause(ctx)
		}
	}
}

// askUntil is ask with an end. The question itself goes on for others.
func (s *Seeker) askUntil(ctx context.Context, service, model, adapter string, by time.Time) (*wire.WantReply, error) {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	return s.ask(ctx, service, model, adapter)
}

// ask joins the question for a name that is under way, or begins one.
func (s *Seeker) ask(ctx context.Context, service, model, adapter string) (*wire.WantReply, error) {
	name := s.Name(service, model, adapter)
	s.mutex.Lock()
	asked := s.asking[name]
	if asked == nil {
		asked = &question{done: make(chan struct{})}
		s.asking[name] = asked
		go s.run(asked, name, &wire.WantRequest{Service: service, Model: model, Adapter: adapter})
	}
	s.mutex.Unlock()
	select {
	case <-asked.done:
		return asked.reply, asked.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run asks the leader once.
func (s *Seeker) run(asked *question, name string, request *wire.WantRequest) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	address := s.settings.Leader()
	asked.reply, asked.err = s.call(ctx, address, request)
	s.mutex.Lock()
	delete(s.asking, name)
	s.mutex.Unlock()
	close(asked.done)
	s.settings.Log.Info("holder wanted", zap.String("name", name), zap.String("leader", address),
		zap.Int("holders", len(asked.reply.GetHoldings())), zap.Int64("ready-in-ms", asked.reply.GetReadyInMs()),
		zap.Duration("took", time.Since(began)), zap.Error(asked.err))
}

func (s *Seeker) call(ctx context.Context, address string, request *wire.WantRequest) (*wire.WantReply, error) {
	if address == "" {
		return nil, &NoLeaderError{}
	}
	link, err := s.settings.Links.Connect(address)
	if err != nil {
		return nil, err
	}
	reply, err := wire.NewControlClient(link).Want(ctx, request)
	if ctx.Err() == context.DeadlineExceeded {
		s.settings.Links.Drop(address, link)
	}
	return reply, err
}

// NoLeaderError says that no leader is known.
type NoLeaderError struct{}

// Error describes the state.
func (e *NoLeaderError) Error() string { return "no leader of the control group is known" }
