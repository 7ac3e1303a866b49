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
	// Fetch reads a page of the platform's list; empty names the first one.
	Fetch func(ctx context.Context, page string) (Page, error)
	// Ask asks another entry for its reading of the list; nil for nobody.
	Ask func(ctx context.Context, question Question) (Reading, error)
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
	ended    chan struct{}

	mutex sync.Mutex
	// listed are the upstreams by name, as last read.
	listed map[string]Upstream
	// readAt is when the list was read, here or by another process, and learnedAt
	// when another one's reading was last taken in.
	readAt    time.Time
	learnedAt time.Time
	// flight is the reading under way, nil for none.
	flight *flight
	// digestOfListed stands for the list where digested is true.
	digestOfListed uint64
	digested       bool
	// told are what the control group says that engines hold.
	told map[string]Told
	// configuration is the one in force, nil before there is any.
	configuration *matcher.Configuration
	// pictured is what Notify was told, by upstream.
	pictured map[string]pictured
}

// fetchTime is the longest that one reading may take. A lost connection shows
// in it, and several readings fit into the time that a leaving upstream gives.
const fetchTime = 800 * time.Millisecond

// jitter is the part of the interval by which readings vary, so that entries
// don't read the list at the same time.
const jitter = 0.2

// retryPart is the part of the interval after which a reading that failed is
// tried again.
const retryPart = 4

// askPart is the part of the interval for which another entry's answer is
// waited for, before the list must be read. newerPart is the part of it by which
// that one's reading must be newer than what is known.
const (
	askPart   = 5
	newerPart = 4
)

// New returns a surveyor that has not started.
func New(settings Settings) *Surveyor {
	ctx, cancel := context.WithCancel(context.Background())
	return &Surveyor{
		settings: settings,
		ctx:      ctx,
		cancel:   cancel,
		ended:    make(chan struct{}),
		listed:   map[string]Upstream{},
		told:     map[string]Told{},
		pictured: map[string]pictured{},
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
	case <-s.ended:
	case <-time.After(time.Until(deadline)):
	}
	return nil
}

func (s *Surveyor) run() {
	defer close(s.ended)
	failed := false
	for {
		err := s.refresh(failed)
		if (err != nil) != failed {
			failed = err != nil
			s.settings.Log.Info("platform's list", zap.Bool("readable", !failed), zap.Error(err))
		}
		if !s.rest(err != nil) {
			return
		}
	}
}

// rest waits until the list must be read again. It returns false once the
// surveyor stops.
func (s *Surveyor) rest(failed bool) bool {
	wait := s.untilDue(time.Now())
	if failed {
		wait = spread(s.settings.Interval / retryPart)
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
	fresh := spread(s.settings.Interval)
	if s.settings.Ask != nil {
		fresh -= s.settings.Interval / askPart
	}
	return fresh - s.age(now)
}

// age is how long ago the list was read.
func (s *Surveyor) age(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Sub(s.readAt)
}

func spread(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + jitter*(rand.Float64()-0.5)))
}

// read takes in the whole list. A list that can't be read in full changes
// nothing.
func (s *Surveyor) read() error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, fetchTime)
	defer cancel()
	listed, err := ReadList(ctx, s.settings.Fetch)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.take(listed, began, began)
}

// take takes in a whole list that was asked for at one time and read at another
// one, unless a newer one came meanwhile. The mutex is held.
func (s *Surveyor) take(listed map[string]Upstream, asked, at time.Time) error {
	if s.readAt.After(at) || s.learnedAt.After(asked) {
		s.takeLeaving(listed)
		return &OvertakenError{}
	}
	for name, upstream := range listed {
		listed[name] = s.stayLeaving(upstream)
	}
	s.readAt = at
	s.replace(listed)
	return nil
}

// replace puts another list in place. The mutex is held.
func (s *Surveyor) replace(listed map[string]Upstream) {
	s.logNews(listed)
	s.listed, s.digested = listed, false
	s.renewAll()
}

// ReadList reads all pages of the platform's list.
func ReadList(ctx context.Context, fetch func(ctx context.Context, page string) (Page, error)) (map[string]Upstream, error) {
	listed := map[string]Upstream{}
	for page := ""; ; {
		got, err := fetch(ctx, page)
		if err != nil {
			return nil, err
		}
		for _, upstream := range got.Upstreams {
			listed[upstream.Name] = upstream
		}
		if got.Next == "" {
			return listed, nil
		}
		page = got.Next
	}
}

// logNews logs what changed in the list.
func (s *Surveyor) logNews(listed map[string]Upstream) {
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
	s.renewAll()
}

// Tell takes in what the control group says that engines hold.
func (s *Surveyor) Tell(told []Told) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var changes []cataloger.Change
	for _, one := range told {
		s.told[one.Upstream] = one
		changes = s.renew(changes, one.Upstream)
	}
	s.publish(changes)
}

// Stand notes that what the control group told of engines stands until a time.
func (s *Surveyor) Stand(until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for name, told := range s.told {
		if now.Before(told.Until) && told.Until.Before(until) {
			told.Until = until
			s.told[name] = told
		}
	}
}
