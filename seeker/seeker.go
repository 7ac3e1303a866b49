// Package seeker asks the control group to load a model or adapter that requests of this
// entry wait for.
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
	callTimeout = time.Second
	// retryInterval is the delay before the leader is queried again after a failure, and
	// between two checks for a holder known to this entry.
	retryInterval = 50 * time.Millisecond
	// maxPollInterval is the longest delay before the leader is queried again for a model
	// that is being loaded. The leader drops a want after two seconds without a query.
	maxPollInterval = time.Second
	// unknownReadyInterval is the delay if the leader does not know when there will be a
	// holder, for example without a configuration or a lease.
	unknownReadyInterval = 250 * time.Millisecond
	// unknownRetryDelay is the retry delay for callers if no time is known. It is the time
	// in which a group elects a leader.
	unknownRetryDelay = time.Second
)

// Settings configure a Seeker.
type Settings struct {
	Links *linker.Linker
	// Leader returns the last known address of the leader, or an empty string.
	Leader func() string
	// UpdateHoldings merges holdings in an answer of the leader.
	UpdateHoldings func([]surveyor.EngineHoldings)
	// Held reports whether this entry knows a holder of the model or adapter with the
	// router's name, at a software version if that is not empty; nil if this is not known.
	Held func(name, software string) bool
	Log  *zap.Logger
}

// Seeker finds holders. It is safe for concurrent use.
type Seeker struct {
	settings Settings
	throttle throttle

	mutex sync.Mutex
	// queries are the queries in flight, and found is the time until which a holder that
	// was found is assumed to be there, both by the router's name.
	queries map[wantKey]*leaderQuery
	found   map[wantKey]time.Time
}

// leaderQuery is one call to the leader that several requests wait for.
type leaderQuery struct {
	done  chan struct{}
	reply *wire.WantReply
	err   error
}

// New returns a seeker.
func New(settings Settings) *Seeker {
	return &Seeker{settings: settings, queries: map[wantKey]*leaderQuery{}, found: map[wantKey]time.Time{}}
}

// Name returns the router's name of a model or adapter of a service.
func (s *Seeker) Name(service, model, adapter string) string {
	return surveyor.HeldName(service, model, adapter)
}

// wantKey identifies a query: the router's name of a model or adapter, and the software
// version of its holders, empty for any.
type wantKey struct{ name, software string }

// Want requests a holder and waits until there is one. It returns a
// *chooser.AbsentError if there will be none by the deadline, or the cause of the
// context's end.
func (s *Seeker) Want(ctx context.Context, requirement chooser.Requirement) error {
	model, deadline := requirement.Model, requirement.Deadline
	key := wantKey{
		name:     s.Name(requirement.Service, model, requirement.Adapter),
		software: requirement.Origin.Software,
	}
	if s.recentlyFound(key, time.Now()) {
		return nil
	}
	for {
		if wait := s.throttle.admit(time.Now()); wait > 0 {
			if err := s.wait(ctx, model, wait, deadline); err != nil {
				return err
			}
			continue
		}
		reply, err := s.queryUntil(ctx, key, requirement)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		interval := retryInterval
		switch {
		case err == nil && len(reply.GetHoldings()) > 0:
			s.recordFound(key, time.Now())
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
		held, err := s.pollHeld(ctx, key, model, interval, deadline)
		if err != nil {
			return err
		}
		if held {
			s.recordFound(key, time.Now())
			return nil
		}
	}
}

// foundValidity is how long a holder that was found is assumed to be there. Requests
// would otherwise query an unreachable holder repeatedly, since the leader takes a second
// or two to notice its loss.
const foundValidity = time.Second

func (s *Seeker) recentlyFound(key wantKey, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Before(s.found[key])
}

func (s *Seeker) recordFound(key wantKey, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.found, func(_ wantKey, until time.Time) bool { return !now.Before(until) })
	s.found[key] = now.Add(foundValidity)
}

// pollHeld waits for the interval, and returns true as soon as this entry knows a holder.
func (s *Seeker) pollHeld(ctx context.Context, key wantKey, model string, interval time.Duration, deadline time.Time) (bool, error) {
	for until := time.Now().Add(interval); ; {
		if s.settings.Held != nil && s.settings.Held(key.name, key.software) {
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

// wait sleeps for the interval. It returns an error if the deadline would pass first or
// the context ends.
func (s *Seeker) wait(ctx context.Context, model string, interval time.Duration, deadline time.Time) error {
	if time.Now().Add(interval).After(deadline) {
		return &chooser.AbsentError{Model: model, RetryAt: time.Now().Add(unknownRetryDelay)}
	}
	if !linker.Sleep(ctx, interval) {
		return context.Cause(ctx)
	}
	return nil
}

// queryUntil is query with a deadline. The call itself continues for other requests.
func (s *Seeker) queryUntil(ctx context.Context, key wantKey, requirement chooser.Requirement) (*wire.WantReply, error) {
	ctx, cancel := context.WithDeadline(ctx, requirement.Deadline)
	defer cancel()
	return s.query(ctx, key, requirement)
}

// query joins the query in flight for a name, or starts one.
func (s *Seeker) query(ctx context.Context, key wantKey, requirement chooser.Requirement) (*wire.WantReply, error) {
	s.mutex.Lock()
	query := s.queries[key]
	if query == nil {
		query = &leaderQuery{done: make(chan struct{})}
		s.queries[key] = query
		go s.run(query, key, &wire.WantRequest{
			Service: requirement.Service, Model: requirement.Model, Adapter: requirement.Adapter, Software: key.software,
		})
	}
	s.mutex.Unlock()
	select {
	case <-query.done:
		return query.reply, query.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run makes one call to the leader.
func (s *Seeker) run(query *leaderQuery, key wantKey, request *wire.WantRequest) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	address := s.settings.Leader()
	query.reply, query.err = s.call(ctx, address, request)
	if holdings := query.reply.GetHoldings(); query.err == nil && len(holdings) > 0 {
		s.settings.UpdateHoldings(encoder.DecodeHoldings(holdings, time.Now()))
	}
	s.mutex.Lock()
	delete(s.queries, key)
	s.mutex.Unlock()
	s.throttle.done(query.err == nil && query.reply.GetLeading(), time.Now())
	close(query.done)
	s.settings.Log.Info("holder wanted", zap.String("name", key.name), zap.String("software", key.software), zap.String("leader", address),
		zap.Int("holders", len(query.reply.GetHoldings())), zap.Int64("ready-in-ms", query.reply.GetReadyInMs()),
		zap.Duration("took", time.Since(startedAt)), zap.Error(query.err))
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

// NoLeaderError is returned if no leader of the control group is known.
type NoLeaderError struct{}

// Error returns a fixed text.
func (e *NoLeaderError) Error() string { return "no leader of the control group is known" }
