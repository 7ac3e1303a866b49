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

// Settings are what a surveyor needs.
type Settings struct {
	// FetchPage reads a page of the platform's list; empty names the first one.
	FetchPage func(ctx context.Context, page string) (Page, error)
	// AskPeer asks another entry for its reading of the list; nil for nobody.
	AskPeer func(ctx context.Context, question ReadingRequest) (Reading, error)
	// Interval is how old the last reading may be, the own one or another
	// process's, before the list is read.
	Interval time.Duration
	// Notify is called with what changed in the picture, on any goroutine, one
	// call at a time. It must not call the surveyor.
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
	// listed are the upstreams by name, as last read.
	listed map[string]Upstream
	// readAt is when the list was read, here or by another process, and learnedAt
	// when another one's reading was last taken in.
	readAt    time.Time
	appliedAt time.Time
	// suspended tells for how long the VM has been suspended, suspendedFor what it
	// told last, and resumedAt when that changed.
	suspended     func() time.Duration
	lastSuspended time.Duration
	resumedAt     time.Time
	// inFlight is the reading under way, nil for none.
	inFlight *sharedRead
	// listDigest stands for the list where digested is true.
	listDigest  uint64
	digestValid bool
	// holdings are what the control group says that engines hold.
	holdings map[string]EngineHoldings
	// holdingsExpireAt is when one of them may have grown too old; zero for never.
	holdingsExpireAt time.Time
	// configuration is the one in force, nil before there is any.
	configuration *matcher.Configuration
	// published is what Notify was told, by upstream.
	published map[string]publishedUpstream
}

// readTimeout is the longest that one reading may take. A lost connection shows
// in it, and several readings fit into the time that a leaving upstream gives.
const readTimeout = 800 * time.Millisecond

// jitter is the part of the interval by which readings vary, so that entries
// don't read the list at the same time.
const jitter = 0.2

// retryDivisor is the part of the interval after which a reading that failed is
// tried again.
const retryDivisor = 4

// askPart is the part of the interval for which another entry's answer is
// waited for, before the list must be read. newerPart is the part of it by which
// that one's reading must be newer than what is known.
const (
	peerTimeoutDivisor = 5
	freshnessDivisor   = 4
)

// New returns a surveyor that has not started.
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

// String names the service.
func (s *Surveyor) String() string { return Name }

// Start begins to read the list.
func (s *Surveyor) Start(context.Context, *registrar.Registrar) error {
	go s.run()
	return nil
}

// Stop ends the readings.
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
			s.settings.Log.Info("platform's list", zap.Bool("readable", !failed), zap.Error(err))
		}
		if !s.waitUntilDue(err != nil) {
			return
		}
	}
}

// waitUntilDue waits until the list must be read again. It returns false once the
// surveyor stops.
func (s *Surveyor) waitUntilDue(failed bool) bool {
	wait := s.untilDue(time.Now())
	if failed {
		wait = jittered(s.settings.Interval / retryDivisor)
	}
	for wait > 0 {
		if !linker.Pause(s.ctx, wait) {
			return false
		}
		wait = s.untilDue(time.Now())
	}
	return s.ctx.Err() == nil
}

// untilDue is how long the last reading is fresh enough, less the time to ask
// for a newer one.
func (s *Surveyor) untilDue(now time.Time) time.Duration {
	fresh := jittered(s.settings.Interval)
	if s.settings.AskPeer != nil {
		fresh -= s.settings.Interval / peerTimeoutDivisor
	}
	return fresh - s.age(now)
}

// age is how long ago the list was read.
func (s *Surveyor) age(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.detectSuspension()
	return now.Sub(s.readAt)
}

func jittered(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + jitter*(rand.Float64()-0.5)))
}

// read takes in the whole list. A list that can't be read in full changes
// nothing.
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

// accept takes in a whole list that was asked for at one time and read at another
// one, unless a newer one came meanwhile. The mutex is held.
func (s *Surveyor) accept(listed map[string]Upstream, asked, at time.Time) error {
	if s.readAt.After(at) || s.appliedAt.After(asked) {
		s.applyLeaving(listed)
		return &SupersededError{}
	}
	if !s.recordRead(at) {
		s.applyLeaving(listed)
		return &StaleError{}
	}
	for name, upstream := range listed {
		listed[name] = s.keepLeaving(upstream)
	}
	s.replace(listed)
	return nil
}

// replace puts another list in place. The mutex is held.
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

// logChanges logs what changed in the list.
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

// Configure takes in the configuration in force.
func (s *Surveyor) Configure(configuration *matcher.Configuration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configuration = configuration
	s.publishAll()
}

// UpdateHoldings takes in what the control group says that engines hold.
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

// ExtendHoldings notes that what the control group told of engines stands until a time.
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
