// Package seeker has the control group bring a model or adapter to an engine
// where requests of this entry wait for one.
package seeker

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/chooser"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/surveyor"
)

const (
	// answerTime is the longest wait for the leader's answer.
	answerTime = time.Second
	// retryPause is the wait before the leader is asked again after no answer, and
	// between two looks at what this entry was told meanwhile.
	retryPause = 50 * time.Millisecond
	// lookPause is the longest wait before the leader is asked again for what is
	// on its way. It forgets what nobody asked for in two seconds.
	lookPause = time.Second
	// unknownPause is the wait where the leader does not know when there will be a
	// holder, as without a configuration or a lease.
	unknownPause = 250 * time.Millisecond
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
	Tell func([]surveyor.EngineHoldings)
	// Held says whether this entry knows a holder by the router's name; nil where
	// it can't tell.
	Held func(name string) bool
	Log  *zap.Logger
}

// Seeker is safe for concurrent use.
type Seeker struct {
	settings Settings
	gate     gate

	mutex sync.Mutex
	// asking are the questions under way, by the router's name, and found is until
	// when the leader's word of a holder counts.
	asking map[string]*question
	found  map[string]time.Time
}

// question is one call that several requests wait for.
type question struct {
	done  chan struct{}
	reply *wire.WantReply
	err   error
}

// New returns a seeker.
func New(settings Settings) *Seeker {
	return &Seeker{settings: settings, asking: map[string]*question{}, found: map[string]time.Time{}}
}

// Name is what the router calls a model or adapter of a service.
func (s *Seeker) Name(service, model, adapter string) string {
	return surveyor.HeldName(service, model, adapter)
}

// Want asks for a holder and waits until there is one. It returns a
// *chooser.AbsentError where none will be there by a time, or the context's
// error.
func (s *Seeker) Want(ctx context.Context, service, model, adapter string, by time.Time) error {
	name := s.Name(service, model, adapter)
	if s.foundLately(name, time.Now()) {
		return nil
	}
	for {
		if wait := s.gate.enter(time.Now()); wait > 0 {
			if err := s.rest(ctx, model, wait, by); err != nil {
				return err
			}
			continue
		}
		reply, err := s.askUntil(ctx, service, model, adapter, by)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		pause := retryPause
		switch {
		case err == nil && len(reply.GetHoldings()) > 0:
			s.noteFound(name, time.Now())
			return nil
		case err == nil && reply.GetLeading() && reply.GetReadyInMs() >= 0:
			ready := time.Duration(reply.GetReadyInMs()) * time.Millisecond
			if time.Now().Add(ready).After(by) {
				return &chooser.AbsentError{Model: model, RetryAt: time.Now().Add(ready)}
			}
			pause = min(lookPause, max(retryPause, ready))
		case err == nil && reply.GetLeading():
			pause = unknownPause
		}
		told, err := s.look(ctx, name, model, pause, by)
		if err != nil {
			return err
		}
		if told {
			s.noteFound(name, time.Now())
			return nil
		}
	}
}

// foundTime is how long the word of a holder counts: one that can't be reached is
// asked for again and again, and the leader takes a second or two to notice its
// loss.
const foundTime = time.Second

func (s *Seeker) foundLately(name string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Before(s.found[name])
}

func (s *Seeker) noteFound(name string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.found, func(_ string, until time.Time) bool { return !now.Before(until) })
	s.found[name] = now.Add(foundTime)
}

// look rests for a pause, and returns true once this entry is told of a holder.
func (s *Seeker) look(ctx context.Context, name, model string, pause time.Duration, by time.Time) (bool, error) {
	for until := time.Now().Add(pause); ; {
		if s.settings.Held != nil && s.settings.Held(name) {
			return true, nil
		}
		left := time.Until(until)
		if left <= 0 {
			return false, nil
		}
		if err := s.rest(ctx, model, min(left, retryPause), by); err != nil {
			return false, err
		}
	}
}

// rest waits. It returns an error where the time is over first.
func (s *Seeker) rest(ctx context.Context, model string, pause time.Duration, by time.Time) error {
	if time.Now().Add(pause).After(by) {
		return &chooser.AbsentError{Model: model, RetryAt: time.Now().Add(unknownRetry)}
	}
	if !linker.Pause(ctx, pause) {
		return context.Cause(ctx)
	}
	return nil
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
	if told := asked.reply.GetHoldings(); asked.err == nil && len(told) > 0 {
		s.settings.Tell(encoder.DecodeHoldings(told, time.Now()))
	}
	s.mutex.Lock()
	delete(s.asking, name)
	s.mutex.Unlock()
	s.gate.leave(asked.err == nil && asked.reply.GetLeading(), time.Now())
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
