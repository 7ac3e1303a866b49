// Package throttler spaces the requests of all entries to upstreams that limit
// the requests of all VMs together. It runs on the leader of the control group:
// one place sees the whole of what each entry sees a part of. Entries ask for the
// requests that they want to send and send none without; while nobody leads,
// these upstreams get none.
package throttler

import (
	"maps"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"burdocklink/limiter"
	"burdocklink/router"
	"burdocklink/surveyor"
)

const (
	// maxAsksPerSecond is how many questions all entries together ask in a second at
	// most. Each takes a leader about 100 µs, so that they take a hundredth of a
	// core.
	maxAsksPerSecond = 100
	// askerTTL is how long an entry that asked counts as one that asks, and
	// countTime the time between two counts.
	askerTTL      = time.Second
	pruneInterval = 100 * time.Millisecond
	// minPause is the least time between two questions of one entry.
	minPause = 20 * time.Millisecond
	// endedLimitPause is the wait of an entry that asks under a limit which has ended.
	endedLimitPause = 50 * time.Millisecond
	// limitTTL is how long a limit is kept that nobody tells or asks about, and
	// mostLimits how many are.
	limitTTL  = time.Hour
	maxLimits = 8192
)

// Settings are what a throttler needs.
type Settings struct {
	// Leadership returns the term and whether this member leads in it now.
	Leadership func() (term uint64, leading bool)
	// Registry takes the counts.
	Registry metrics.Registry
	Log      *zap.Logger
}

// incarnation is one start of an upstream.
type incarnation struct{ upstream, id string }

// key names the incarnation among what followers are told.
func (i incarnation) key() string { return i.upstream + " " + i.id }

// limit is the limit of an incarnation and what was scheduled under it.
type limit struct {
	observed router.ObservedLimit
	schedule limiter.Schedule
	// usedAt is when it was last told or asked about.
	usedAt time.Time
}

// Throttler is safe for many goroutines.
type Throttler struct {
	settings Settings
	reserved metrics.Counter
	denied   metrics.Counter
	// observed is what followers are told of limits.
	observed *surveyor.Changelog[router.ObservedLimit]

	mutex sync.Mutex
	// term is of the lead that the schedules belong to, and from when its first
	// requests may be due: those that the leader before has scheduled come first.
	term       uint64
	firstDueAt time.Time
	limits     map[incarnation]*limit
	// lastAsked are when entries last asked, without those that did long before
	// countedAt.
	lastAsked map[string]time.Time
	prunedAt  time.Time
}

// New returns a throttler that knows no limits.
func New(settings Settings) *Throttler {
	return &Throttler{
		settings: settings,
		reserved: metrics.GetOrRegisterCounter("requests-reserved", settings.Registry),
		denied:   metrics.GetOrRegisterCounter("requests-not-reserved", settings.Registry),
		observed: surveyor.NewChangelog(func(a, b router.ObservedLimit) bool {
			return a.RateLimit == b.RateLimit
		}),
		limits:    map[incarnation]*limit{},
		lastAsked: map[string]time.Time{},
	}
}

// LimitsAfter returns the limits that changed after a serial number, and the number of
// the newest change.
func (t *Throttler) LimitsAfter(after uint64) ([]router.ObservedLimit, uint64) {
	limits, newest, _ := t.observed.After(after)
	return limits, newest
}

// Reserve takes in what an entry heard of limits and schedules the requests that
// it wants to send. The entry asks again after the pause at the earliest. Leading
// is false where this member does not schedule.
func (t *Throttler) Reserve(now time.Time, entry string, asks []router.ReservationRequest) (reservations []router.Reservation, pause time.Duration, leading bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.ensureLeading(now) {
		return nil, 0, false
	}
	for _, ask := range asks {
		known := t.observe(now, ask.ObservedLimit)
		if known != nil && ask.Wanted > 0 {
			reservations = append(reservations, t.schedule(now, known, ask))
		}
	}
	return reservations, t.pause(now, entry), true
}

// ObserveAnswer takes in the limit that an answer to a request of this member names,
// which was sent at a time, or that it names none. One that names none ends a limit
// only where the request was sent after the limit was last heard of.
func (t *Throttler) ObserveAnswer(now, sentAt time.Time, upstream, id string, limit router.RateLimit) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.limits[incarnation{upstream, id}]
	if !limit.Announced && (known == nil || !sentAt.After(known.observed.At)) {
		return
	}
	t.observe(now, router.ObservedLimit{Upstream: upstream, Incarnation: id, RateLimit: limit, At: now})
}

// Charge counts a request of this member to an upstream, which is sent whether
// there is room for it or not. It returns the limit.
func (t *Throttler) Charge(now time.Time, upstream, id string) router.RateLimit {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.limits[incarnation{upstream, id}]
	if known == nil || !known.observed.Announced {
		return router.RateLimit{}
	}
	known.schedule.Charge(now, known.observed.PerSecond)
	return known.observed.RateLimit
}

// Limit returns the limit of an incarnation.
func (t *Throttler) Limit(upstream, id string) router.RateLimit {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.limits[incarnation{upstream, id}]; known != nil {
		return known.observed.RateLimit
	}
	return router.RateLimit{}
}

// ensureLeading says whether this member schedules, and begins anew where it has not led in
// this term. The mutex is held.
func (t *Throttler) ensureLeading(now time.Time) bool {
	term, leading := t.settings.Leadership()
	if leading && term != t.term {
		t.term, t.firstDueAt = term, now.Add(limiter.ScheduleHorizon)
		for _, known := range t.limits {
			known.schedule = limiter.NewSchedule(t.firstDueAt)
		}
		t.settings.Log.Info("schedules requests", zap.Uint64("term", term), zap.Int("limits", len(t.limits)))
	}
	return leading
}

// observe takes in the newest word on a limit. It returns nil for an incarnation that
// never named one. The mutex is held.
func (t *Throttler) observe(now time.Time, observed router.ObservedLimit) *limit {
	inc := incarnation{observed.Upstream, observed.Incarnation}
	known := t.limits[inc]
	if known == nil && !observed.Announced {
		return nil
	}
	if known == nil {
		t.evict(now)
		known = &limit{schedule: limiter.NewSchedule(later(t.firstDueAt, now))}
		t.limits[inc] = known
	}
	known.usedAt = now
	if !observed.Overrides(known.observed) {
		return known
	}
	if observed.RateLimit != known.observed.RateLimit {
		t.settings.Log.Info("limit heard", zap.String("upstream", observed.Upstream),
			zap.String("incarnation", observed.Incarnation), zap.Bool("limited", observed.Announced),
			zap.Float64("per-second", observed.PerSecond), zap.Float64("before", known.observed.PerSecond),
			zap.Duration("age", now.Sub(observed.At)))
	}
	known.observed = observed
	t.observed.Set(inc.key(), observed)
	return known
}

// schedule reserves what an entry wants, as far as there is room. The mutex is
// held.
func (t *Throttler) schedule(now time.Time, known *limit, ask router.ReservationRequest) router.Reservation {
	reservation := router.Reservation{Upstream: ask.Upstream, Incarnation: ask.Incarnation}
	if !known.observed.Announced {
		// the entry hears that the limit has ended with the next heartbeat
		reservation.RetryAt = now.Add(endedLimitPause)
		return reservation
	}
	if ask.Optional && !known.schedule.Idle(now) {
		return reservation
	}
	for range ask.Wanted {
		due, reserved := known.schedule.Reserve(now, known.observed.PerSecond)
		if !reserved {
			reservation.RetryAt = due
			t.denied.Inc(1)
			break
		}
		t.reserved.Inc(1)
		reservation.Permits = append(reservation.Permits, limiter.Permit{From: due, Until: due.Add(limiter.PermitLifetime)})
	}
	return reservation
}

// pause is the time until an entry may ask again: longer the more entries ask. The
// mutex is held.
func (t *Throttler) pause(now time.Time, entry string) time.Duration {
	t.lastAsked[entry] = now
	if now.Sub(t.prunedAt) >= pruneInterval {
		t.prunedAt = now
		maps.DeleteFunc(t.lastAsked, func(_ string, at time.Time) bool { return now.Sub(at) > askerTTL })
	}
	return max(minPause, time.Duration(len(t.lastAsked))*time.Second/maxAsksPerSecond)
}

// evict makes room for one more limit. The mutex is held.
func (t *Throttler) evict(now time.Time) {
	if len(t.limits) < maxLimits {
		return
	}
	var oldest incarnation
	for inc, known := range t.limits {
		if now.Sub(known.usedAt) > limitTTL {
			delete(t.limits, inc)
			continue
		}
		if candidate := t.limits[oldest]; candidate == nil || known.usedAt.Before(candidate.usedAt) {
			oldest = inc
		}
	}
	if len(t.limits) >= maxLimits {
		delete(t.limits, oldest)
	}
	kept := make(map[string]bool, len(t.limits))
	for inc := range t.limits {
		kept[inc.key()] = true
	}
	t.observed.Retain(func(key string) bool { return kept[key] })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
