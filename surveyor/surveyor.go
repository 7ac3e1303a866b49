package surveyor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/linker"
	"burdocklink/matcher"
	"burdocklink/registrar"
)

// Name is the service's name in the kernel.
const Name = "surveyor"

// Settings configure a Surveyor.
type Settings struct {
	// FetchPage reads a page of the platform's list; an empty name means the first
	// page.
	FetchPage func(ctx context.Context, page string) (Page, error)
	// AskPeer asks another entry for its reading of the list; nil if there is no
	// peer.
	AskPeer func(ctx context.Context, request ReadingRequest) (Reading, error)
	// Interval is the maximum age of the last reading, by this or another process,
	// before the list is read again.
	Interval time.Duration
	// Notify receives catalog changes. It is called on any goroutine, but never
	// concurrently, and must not call the surveyor.
	Notify func([]cataloger.Change)
	Log    *zap.Logger
}

// Surveyor is the service.
type Surveyor struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  chan struct{}

	mutex sync.Mutex
	// listed holds the upstreams by name, as last read.
	listed map[string]Upstream
	// readAt is when this or another process read the list; appliedAt is when
	// another process's changes were last applied.
	readAt    time.Time
	appliedAt time.Time
	// suspended returns the total suspension time of the VM, lastSuspended is its
	// last known value, and resumedAt is when that changed.
	suspended     func() time.Duration
	lastSuspended time.Duration
	resumedAt     time.Time
	// inFlight is the read in progress; nil if there is none.
	inFlight *sharedRead
	// listDigest is the digest of listed if digestValid is true.
	listDigest  uint64
	digestValid bool
	// holdings holds the control group's data by engine.
	holdings map[string]EngineHoldings
	// holdingsExpireAt is when some holdings may have expired; zero means never.
	holdingsExpireAt time.Time
	// configuration is the configuration in force; nil if there is none yet.
	configuration *matcher.Configuration
	// published is the state sent to Notify, by upstream.
	published map[string]publishedUpstream
}

// readTimeout bounds one read. It is how a lost connection is detected, and several
// reads fit into the notice that a leaving upstream gives.
const readTimeout = 800 * time.Millisecond

// jitter is the fraction of a wait by which it varies, so that entries don't read
// the list at the same time.
const jitter = 0.2

// retryDivisor is the divisor of the interval that gives the delay after a failed
// read.
const retryDivisor = 4

// peerTimeoutDivisor is the divisor of the interval that gives the time to wait for
// a peer before the list must be read. freshnessDivisor gives how much newer than
// the known reading the peer's must be.
const (
	peerTimeoutDivisor = 5
	freshnessDivisor   = 4
)

// New returns a surveyor that has not been started.
func New(settings Settings) *Surveyor {
	ctx, cancel := context.WithCancel(context.Background())
	return &Surveyor{
		settings:  settings,
		ctx:       ctx,
		cancel:    cancel,
		stopped:   make(chan struct{}),
		listed:    map[string]Upstream{},
		holdings:  map[string]EngineHoldings{},
		published: map[string]publishedUpstream{},

		suspended: newSuspensionClock(),
	}
}

// String returns the service name.
func (s *Surveyor) String() string { return Name }

// Start starts reading the list.
func (s *Surveyor) Start(context.Context, *registrar.Registrar) error {
	go s.run()
	return nil
}

// Stop cancels reads and waits for run to return, until the deadline.
func (s *Surveyor) Stop(deadline time.Time) error {
	s.cancel()
	select {
	case <-s.stopped:
	case <-time.After(time.Until(deadline)):
	}
	return nil
}

func (s *Surveyor) run() {
	defer close(s.stopped)
	failed := false
	for {
		err := s.refresh(failed)
		if (err != nil) != failed {
			failed = err != nil
			s.settings.Log.Info("platform list read status changed", zap.Bool("readable", !failed), zap.Error(err))
		}
		if !s.waitUntilDue(err != nil) {
			return
		}
	}
}

// waitUntilDue waits until the list must be read again. It returns false if the
// surveyor stops.
func (s *Surveyor) waitUntilDue(failed bool) bool {
	wait := s.untilDue(time.Now())
	if failed {
		wait = jittered(s.settings.Interval / retryDivisor)
	}
	for wait > 0 {
		if !linker.Sleep(s.ctx, wait) {
			return false
		}
		wait = s.untilDue(time.Now())
	}
	return s.ctx.Err() == nil
}

// untilDue returns how long the last reading stays fresh, less the time to ask a
// peer for a newer one.
func (s *Surveyor) untilDue(now time.Time) time.Duration {
	fresh := jittered(s.settings.Interval)
	if s.settings.AskPeer != nil {
		fresh -= s.settings.Interval / peerTimeoutDivisor
	}
	return fresh - s.age(now)
}

// age returns the time since the list was read.
func (s *Surveyor) age(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.detectSuspension()
	return now.Sub(s.readAt)
}

func jittered(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + jitter*(rand.Float64()-0.5)))
}

// read reads the list and applies it. A partial read changes nothing.
func (s *Surveyor) read() error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	listed, err := ReadList(ctx, s.settings.FetchPage)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.accept(listed, start, start)
}

// accept applies a whole list that was requested and read at the given times,
// unless a newer one has been applied in the meantime. The mutex must be held.
func (s *Surveyor) accept(listed map[string]Upstream, requestedAt, readAt time.Time) error {
	if s.readAt.After(readAt) || s.appliedAt.After(requestedAt) {
		s.applyLeaving(listed)
		return &SupersededError{}
	}
	if !s.recordRead(readAt) {
		s.applyLeaving(listed)
		return &StaleError{}
	}
	for name, upstream := range listed {
		listed[name] = s.keepLeaving(upstream)
	}
	s.replace(listed)
	return nil
}

// replace replaces the known list. The mutex must be held.
func (s *Surveyor) replace(listed map[string]Upstream) {
	s.logChanges(listed)
	s.listed, s.digestValid = listed, false
	s.publishAll()
}

// ReadList reads all pages of the platform's list.
func ReadList(ctx context.Context, fetch func(ctx context.Context, page string) (Page, error)) (map[string]Upstream, error) {
	listed := map[string]Upstream{}
	for page := ""; ; {
		result, err := fetch(ctx, page)
		if err != nil {
			return nil, err
		}
		for _, upstream := range result.Upstreams {
			listed[upstream.Name] = upstream
		}
		if result.Next == "" {
			return listed, nil
		}
		page = result.Next
	}
}

// logChanges logs the differences between the known list and a new one.
func (s *Surveyor) logChanges(listed map[string]Upstream) {
	for _, upstream := range listed {
		s.logListed(upstream)
	}
	for name := range s.listed {
		if _, still := listed[name]; !still {
			s.settings.Log.Info("upstream no longer listed", zap.String("upstream", name))
		}
	}
}

func (s *Surveyor) logListed(upstream Upstream) {
	before, known := s.listed[upstream.Name]
	if known && before.State == upstream.State && before.Incarnation == upstream.Incarnation {
		return
	}
	s.settings.Log.Info("upstream listed", zap.String("upstream", upstream.Name),
		zap.String("service", upstream.Service), zap.String("address", upstream.Address),
		zap.Bool("leaving", upstream.State == Leaving))
}

// Configure sets the configuration in force.
func (s *Surveyor) Configure(configuration *matcher.Configuration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configuration = configuration
	s.publishAll()
}

// UpdateHoldings applies what engines hold according to the control group.
func (s *Surveyor) UpdateHoldings(reported []EngineHoldings) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireHoldings(time.Now())
	var changes []cataloger.Change
	for _, holdings := range reported {
		s.holdings[holdings.Upstream] = holdings
		s.scheduleExpiry(holdings.ValidUntil)
		changes = s.appendChanges(changes, holdings.Upstream)
	}
	s.publish(changes)
}

// ExtendHoldings extends the validity of unexpired holdings until a time.
func (s *Surveyor) ExtendHoldings(until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for name, holdings := range s.holdings {
		if now.Before(holdings.ValidUntil) && holdings.ValidUntil.Before(until) {
			holdings.ValidUntil = until
			s.holdings[name] = holdings
		}
	}
}
