package surveyor

import (
	"context"
	"math/rand/v2"
	"reflect"
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
	// Interval is how old the last reading may be, the own one or another
	// process's, before the list is read.
	Interval time.Duration
	// Notify is called with each new picture, on any goroutine, one call at a
	// time.
	Notify func(*cataloger.Catalog)
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
	// readAt is when the list was read, here or by another process.
	readAt time.Time
	// told are what the control group says that engines hold.
	told map[string]Told
	// configuration is the one in force, nil before there is any.
	configuration *matcher.Configuration
	current       *cataloger.Catalog
	revision      uint64
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
		err := s.read()
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
	wait := spread(s.settings.Interval)
	if failed {
		wait = spread(s.settings.Interval / retryPart)
	}
	for wait > 0 {
		if !linker.Pause(s.ctx, wait) {
			return false
		}
		wait = spread(s.settings.Interval) - s.age(time.Now())
	}
	return true
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
	s.logNews(listed)
	s.listed, s.readAt = listed, began
	s.update()
	return nil
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
	for name, upstream := range listed {
		before, known := s.listed[name]
		if known && before.State == upstream.State && before.Incarnation == upstream.Incarnation {
			continue
		}
		s.settings.Log.Info("upstream listed", zap.String("upstream", name),
			zap.String("service", upstream.Service), zap.String("address", upstream.Address),
			zap.Bool("leaving", upstream.State == Leaving))
	}
	for name := range s.listed {
		if _, still := listed[name]; !still {
			s.settings.Log.Info("upstream no longer listed", zap.String("upstream", name))
		}
	}
}

// Configure takes in the configuration in force.
func (s *Surveyor) Configure(configuration *matcher.Configuration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configuration = configuration
	s.update()
}

// Tell takes in what the control group says that engines hold.
func (s *Surveyor) Tell(told []Told) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, one := range told {
		s.told[one.Upstream] = one
	}
	s.update()
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

// update makes a new picture where something changed. The mutex is held.
func (s *Surveyor) update() {
	catalog := s.catalog()
	if s.current != nil && reflect.DeepEqual(catalog.Upstreams, s.current.Upstreams) &&
		reflect.DeepEqual(catalog.Placements, s.current.Placements) {
		return
	}
	s.revision++
	catalog.Revision = s.revision
	s.current = catalog
	s.settings.Notify(catalog)
}
