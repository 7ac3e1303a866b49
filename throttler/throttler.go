// Package throttler schedules the requests of all entries to rate-limited
// upstreams, whose limit covers all VMs together. It runs on the leader of the
// control group, because each entry sees only a part of the requests. Entries send
// nothing without a permit, so these upstreams get no requests while there is no
// leader.
package throttler

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"burdocklink/limiter"
	"burdocklink/router"
	"burdocklink/surveyor"
)

const (
	// maxReserveCallsPerSecond bounds the calls of Reserve by all entries together. A
	// call takes a leader about 100 µs, so that this is a hundredth of a core.
	maxReserveCallsPerSecond = 100
	// minPause is the shortest pause between two calls by an entry.
	minPause = 20 * time.Millisecond
	// endedLimitPause is the delay before the retry of a request under a limit that
	// has ended.
	endedLimitPause = 50 * time.Millisecond
	// limitTTL is how long an unused limit is kept, and maxLimits how many are
	// kept.
	limitTTL  = time.Hour
	maxLimits = 8192
)

// Settings configure a Throttler.
type Settings struct {
	// Leadership returns the current term and whether this member leads in it.
	Leadership func() (term uint64, leading bool)
	// Registry receives the counters.
	Registry metrics.Registry
	Log      *zap.Logger
}

// incarnation identifies one start of an upstream.
type incarnation struct{ upstream, id string }

// key returns the key of the incarnation in the changelog.
func (i incarnation) key() string { return i.upstream + " " + i.id }

// limit is the limit of an incarnation and the schedule under it.
type limit struct {
	observed router.ObservedLimit
	schedule limiter.Schedule
	// usedAt is when the limit was last observed or requests were reserved under it.
	usedAt time.Time
}

// Throttler schedules requests under rate limits. It is safe for concurrent use.
type Throttler struct {
	settings Settings
	reserved metrics.Counter
	denied   metrics.Counter
	// observed publishes limits to followers.
	observed *surveyor.Changelog[router.ObservedLimit]

	mutex sync.Mutex
	// term is the term of the schedules. firstDueAt is when the first request of
	// the term may be due, after those that the previous leader has scheduled.
	term       uint64
	firstDueAt time.Time
	limits     map[incarnation]*limit
	// pace spreads the calls of Reserve.
	pace *limiter.Pace
}

// New returns a throttler without limits.
func New(settings Settings) *Throttler {
	return &Throttler{
		settings: settings,
		reserved: metrics.GetOrRegisterCounter("requests-reserved", settings.Registry),
		denied:   metrics.GetOrRegisterCounter("requests-not-reserved", settings.Registry),
		observed: surveyor.NewChangelog(func(a, b router.ObservedLimit) bool {
			return a.RateLimit == b.RateLimit
		}),
		limits: map[incarnation]*limit{},
		pace:   limiter.NewPace(maxReserveCallsPerSecond, minPause),
	}
}

// LimitsAfter returns the limits that changed after a serial number, and the serial
// number of the newest change.
func (t *Throttler) LimitsAfter(after uint64) ([]router.ObservedLimit, uint64) {
	limits, newest, _ := t.observed.After(after)
	return limits, newest
}

// Reserve records the limits that an entry has observed and schedules the requests
// that it wants to send. The entry must not call again before the pause has passed.
// Leading is false if this member does not schedule requests.
func (t *Throttler) Reserve(now time.Time, entry string, requests []router.ReservationRequest) (reservations []router.Reservation, pause time.Duration, leading bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.ensureLeading(now) {
		return nil, 0, false
	}
	for _, request := range requests {
		lim := t.observe(now, request.ObservedLimit)
		if lim != nil && request.Wanted > 0 {
			reservations = append(reservations, t.schedule(now, lim, request))
		}
	}
	return reservations, t.pace.Pause(now, entry), true
}

// ObserveAnswer records the limit in the answer to a request of this member, or its
// absence. An answer without a limit ends a known limit only if its request was
// sent after the limit was last observed.
func (t *Throttler) ObserveAnswer(now, sentAt time.Time, upstream, id string, limit router.RateLimit) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	lim := t.limits[incarnation{upstream, id}]
	if !limit.Announced && (lim == nil || !sentAt.After(lim.observed.At)) {
		return
	}
	t.observe(now, router.ObservedLimit{Upstream: upstream, Incarnation: id, RateLimit: limit, At: now})
}

// Charge counts a request of this member that is sent regardless of the limit, and
// returns the limit.
func (t *Throttler) Charge(now time.Time, upstream, id string) router.RateLimit {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	lim := t.limits[incarnation{upstream, id}]
	if lim == nil || !lim.observed.Announced {
		return router.RateLimit{}
	}
	lim.schedule.Charge(now, lim.observed.PerSecond)
	return lim.observed.RateLimit
}

// Limit returns the limit of an incarnation.
func (t *Throttler) Limit(upstream, id string) router.RateLimit {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if lim := t.limits[incarnation{upstream, id}]; lim != nil {
		return lim.observed.RateLimit
	}
	return router.RateLimit{}
}

// ensureLeading reports whether this member schedules requests, and resets the
// schedules at the start of a term. The mutex must be held.
func (t *Throttler) ensureLeading(now time.Time) bool {
	term, leading := t.settings.Leadership()
	if leading && term != t.term {
		t.term, t.firstDueAt = term, now.Add(limiter.ScheduleHorizon)
		for _, lim := range t.limits {
			lim.schedule = limiter.NewSchedule(t.firstDueAt)
		}
		t.settings.Log.Info("scheduling requests as leader", zap.Uint64("term", term), zap.Int("limits", len(t.limits)))
	}
	return leading
}

// observe records an observation of a limit. It returns nil for an incarnation that
// has never announced one. The mutex must be held.
func (t *Throttler) observe(now time.Time, observed router.ObservedLimit) *limit {
	inc := incarnation{observed.Upstream, observed.Incarnation}
	lim := t.limits[inc]
	if lim == nil && !observed.Announced {
		return nil
	}
	if lim == nil {
		t.evict(now)
		lim = &limit{schedule: limiter.NewSchedule(later(t.firstDueAt, now))}
		t.limits[inc] = lim
	}
	lim.usedAt = now
	if !observed.Overrides(lim.observed) {
		return lim
	}
	if observed.RateLimit != lim.observed.RateLimit {
		t.settings.Log.Info("rate limit changed", zap.String("upstream", observed.Upstream),
			zap.String("incarnation", observed.Incarnation), zap.Bool("limited", observed.Announced),
			zap.Float64("per-second", observed.PerSecond), zap.Float64("before", lim.observed.PerSecond),
			zap.Duration("age", now.Sub(observed.At)))
	}
	lim.observed = observed
	t.observed.Set(inc.key(), observed)
	return lim
}

// schedule reserves the requests that an entry wants, as far as the limit allows.
// The mutex must be held.
func (t *Throttler) schedule(now time.Time, lim *limit, request router.ReservationRequest) router.Reservation {
	reservation := router.Reservation{Upstream: request.Upstream, Incarnation: request.Incarnation}
	if !lim.observed.Announced {
		// the next heartbeat tells the entry that the limit has ended
		reservation.RetryAt = now.Add(endedLimitPause)
		return reservation
	}
	if request.Optional && !lim.schedule.Idle(now) {
		return reservation
	}
	for range request.Wanted {
		due, reserved := lim.schedule.Reserve(now, lim.observed.PerSecond)
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

// evict makes room for one more limit. The mutex must be held.
func (t *Throttler) evict(now time.Time) {
	if len(t.limits) < maxLimits {
		return
	}
	var oldest incarnation
	for inc, lim := range t.limits {
		if now.Sub(lim.usedAt) > limitTTL {
			delete(t.limits, inc)
			continue
		}
		if candidate := t.limits[oldest]; candidate == nil || lim.usedAt.Before(candidate.usedAt) {
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
