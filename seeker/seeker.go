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
	// callTimeout is the longest wait for the leader's answer.
	callTimeout = time.Second
	// retryInterval is the wait before the leader is asked again after no answer, and
	// between two looks at what this entry was told meanwhile.
	retryInterval = 50 * time.Millisecond
	// maxPollInterval is the longest wait before the leader is asked again for what is
	// on its way. It forgets what nobody asked for in two seconds.
	maxPollInterval = time.Second
	// unknownReadyInterval is the wait where the leader does not know when there will be a
	// holder, as without a configuration or a lease.
	unknownReadyInterval = 250 * time.Millisecond
	// unknownRetryDelay is when a caller should come back for what nobody promises:
	// after the time in which a group elects a leader.
	unknownRetryDelay = time.Second
)

// Settings are what a seeker needs.
type Settings struct {
	Links *linker.Linker
	// Leader returns the leader's address as last heard, or an empty string.
	Leader func() string
	// UpdateHoldings takes in what engines hold.
	UpdateHoldings func([]surveyor.EngineHoldings)
	// Held says whether this entry knows a holder by the router's name; nil where
	// it can't tell.
	Held func(name string) bool
	Log  *zap.Logger
}

// Seeker is safe for concurrent use.
type Seeker struct {
	settings Settings
	throttle throttle

	mutex sync.Mutex
	// queries are the questions under way, by the router's name, and found is until
	// when the leader's word of a holder counts.
	queries map[string]*leaderQuery
	found   map[string]time.Time
}

// leaderQuery is one call that several requests wait for.
type leaderQuery struct {
	done  chan struct{}
	reply *wire.WantReply
	err   error
}

// New returns a seeker.
func New(settings Settings) *Seeker {
	return &Seeker{settings: settings, queries: map[string]*leaderQuery{}, found: map[string]time.Time{}}
}

// Name is what the router calls a model or adapter of a service.
func (s *Seeker) Name(service, model, adapter string) string {
	return surveyor.HeldName(service, model, adapter)
}

// Want asks for a holder and waits until there is one. It returns a
// *chooser.AbsentError where none will be there by a time, or the context's
// error.
func (s *Seeker) Want(ctx context.Context, service, model, adapter string, deadline time.Time) error {
	name := s.Name(service, model, adapter)
	if s.recentlyFound(name, time.Now()) {
		return nil
	}
	for {
		if wait := s.throttle.admit(time.Now()); wait > 0 {
			if err := s.wait(ctx, model, wait, deadline); err != nil {
				return err
			}
			continue
		}
		reply, err := s.queryUntil(ctx, service, model, adapter, deadline)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		interval := retryInterval
		switch {
		case err == nil && len(reply.GetHoldings()) > 0:
			s.recordFound(name, time.Now())
			return nil
		case err == nil && reply.GetLeading() && reply.GetReadyInMs() >= 0:
			ready := time.Duration(reply.GetReadyInMs()) * time.Millisecond
			if time.Now().Add(ready).After(deadline) {
				return &chooser.AbsentError{Model: model, RetryAt: time.Now().Add(ready)}
			}
			interval = min(maxPollInterval, max(retryInterval, ready))
		case err == nil && reply.GetLeading():
			interval = unknownReadyInterval
		}
		held, err := s.pollHeld(ctx, name, model, interval, deadline)
		if err != nil {
			return err
		}
		if held {
			s.recordFound(name, time.Now())
			return nil
		}
	}
}

// foundValidity is how long the word of a holder counts: one that can't be reached is
// asked for again and again, and the leader takes a second or two to notice its
// loss.
const foundValidity = time.Second

func (s *Seeker) recentlyFound(name string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Before(s.found[name])
}

func (s *Seeker) recordFound(name string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.found, func(_ string, until time.Time) bool { return !now.Before(until) })
	s.found[name] = now.Add(foundValidity)
}

// pollHeld rests for a pause, and returns true once this entry is told of a holder.
func (s *Seeker) pollHeld(ctx context.Context, name, model string, interval time.Duration, deadline time.Time) (bool, error) {
	for until := time.Now().Add(interval); ; {
		if s.settings.Held != nil && s.settings.Held(name) {
			return true, nil
		}
		left := time.Until(until)
		if left <= 0 {
			return false, nil
		}
		if err := s.wait(ctx, model, min(left, retryInterval), deadline); err != nil {
			return false, err
		}
	}
}

// wait waits. It returns an error where the time is over first.
func (s *Seeker) wait(ctx context.Context, model string, interval time.Duration, deadline time.Time) error {
	if time.Now().Add(interval).After(deadline) {
		return &chooser.AbsentError{Model: model, RetryAt: time.Now().Add(unknownRetryDelay)}
	}
	if !linker.Sleep(ctx, interval) {
		return context.Cause(ctx)
	}
	return nil
}

// queryUntil is ask with an end. The question itself goes on for others.
func (s *Seeker) queryUntil(ctx context.Context, service, model, adapter string, deadline time.Time) (*wire.WantReply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return s.query(ctx, service, model, adapter)
}

// query joins the question for a name that is under way, or begins one.
func (s *Seeker) query(ctx context.Context, service, model, adapter string) (*wire.WantReply, error) {
	name := s.Name(service, model, adapter)
	s.mutex.Lock()
	query := s.queries[name]
	if query == nil {
		query = &leaderQuery{done: make(chan struct{})}
		s.queries[name] = query
		go s.run(query, name, &wire.WantRequest{Service: service, Model: model, Adapter: adapter})
	}
	s.mutex.Unlock()
	select {
	case <-query.done:
		return query.reply, query.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run asks the leader once.
func (s *Seeker) run(query *leaderQuery, name string, request *wire.WantRequest) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	address := s.settings.Leader()
	query.reply, query.err = s.call(ctx, address, request)
	if holdings := query.reply.GetHoldings(); query.err == nil && len(holdings) > 0 {
		s.settings.UpdateHoldings(encoder.DecodeHoldings(holdings, time.Now()))
	}
	s.mutex.Lock()
	delete(s.queries, name)
	s.mutex.Unlock()
	s.throttle.done(query.err == nil && query.reply.GetLeading(), time.Now())
	close(query.done)
	s.settings.Log.Info("holder wanted", zap.String("name", name), zap.String("leader", address),
		zap.Int("holders", len(query.reply.GetHoldings())), zap.Int64("ready-in-ms", query.reply.GetReadyInMs()),
		zap.Duration("took", time.Since(began)), zap.Error(query.err))
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
