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
	// questionRate is how many questions all entries together ask in a second at
	// most. Each takes a leader about 100 µs, so that they take a hundredth of a
	// core.
	questionRate = 100
	// askerTime is how long an entry that asked counts as one that asks, and
	// countTime the time between two counts.
	askerTime = time.Second
	countTime = 100 * time.Millisecond
	// shortestPause is the least time between two questions of one entry.
	shortestPause = 20 * time.Millisecond
	// endedPause is the wait of an entry that asks under a limit which has ended.
	endedPause = 50 * time.Millisecond
	// forgetTime is how long a limit is kept that nobody tells or asks about, and
	// mostLimits how many are.
	forgetTime = time.Hour
	mostLimits = 8192
)

// Settings are what a throttler needs.
type Settings struct {
	// Lead returns the term and whether this member leads in it now.
	Lead func() (term uint64, leading bool)
	// Registry takes the counts.
	Registry metrics.Registry
	Log      *zap.Logger
}

// incarnation is one start of an upstream.
type incarnation struct{ name, start string }

// key names the incarnation among what followers are told.
func (i incarnation) key() string { return i.name + " " + i.start }

// limit is the limit of an incarnation and what was scheduled under it.
type limit struct {
	heard    router.ObservedLimit
	schedule limiter.Schedule
	// touched is when it was last told or asked about.
	touched time.Time
}

// Throttler is safe for many goroutines.
type Throttler struct {
	settings Settings
	reserved metrics.Counter
	denied   metrics.Counter
	// told is what followers are told of limits.
	told *surveyor.Changelog[router.ObservedLimit]

	mutex sync.Mutex
	// term is of the lead that the schedules belong to, and from when its first
	// requests may be due: those that the leader before has scheduled come first.
	term   uint64
	from   time.Time
	limits map[incarnation]*limit
	// askers are when entries last asked, without those that did long before
	// countedAt.
	askers    map[string]time.Time
	countedAt time.Time
}

// New returns a throttler that knows no limits.
func New(settings Settings) *Throttler {
	return &Throttler{
		settings: settings,
		reserved: metrics.GetOrRegisterCounter("requests-reserved", settings.Registry),
		denied:   metrics.GetOrRegisterCounter("requests-not-reserved", settings.Registry),
		told: surveyor.NewChangelog(func(a, b router.ObservedLimit) bool {
			return a.RateLimit == b.RateLimit
		}),
		limits: map[incarnation]*limit{},
		askers: map[string]time.Time{},
	}
}

// Told returns the limits that changed after a serial number, and the number of
// the newest change.
func (t *Throttler) Told(after uint64) ([]router.ObservedLimit, uint64) {
	heard, newest, _ := t.told.After(after)
	return heard, newest
}

// Reserve takes in what an entry heard of limits and schedules the requests that
// it wants to send. The entry asks again after the pause at the earliest. Leading
// is false where this member does not schedule.
func (t *Throttler) Reserve(now time.Time, entry string, asks []router.ReservationRequest) (reservations []router.Reservation, pause time.Duration, leading bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.lead(now) {
		return nil, 0, false
	}
	for _, ask := range asks {
		known := t.hear(now, ask.ObservedLimit)
		if known != nil && ask.Wanted > 0 {
			reservations = append(reservations, t.schedule(now, known, ask))
		}
	}
	return reservations, t.pause(now, entry), true
}

// HeedAnswer takes in the limit that an answer to a request of this member names,
// which was sent at a time, or that it names none. One that names none ends a limit
// only where the request was sent after the limit was last heard of.
func (t *Throttler) HeedAnswer(now, sentAt time.Time, upstream, start string, said router.RateLimit) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.limits[incarnation{upstream, start}]
	if !said.Announced && (known == nil || !sentAt.After(known.heard.At)) {
		return
	}
	t.hear(now, router.ObservedLimit{Upstream: upstream, Incarnation: start, RateLimit: said, At: now})
}

// Charge counts a request of this member to an upstream, which is sent whether
// there is room for it or not. It returns the limit.
func (t *Throttler) Charge(now time.Time, upstream, start string) router.RateLimit {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.limits[incarnation{upstream, start}]
	if known == nil || !known.heard.Announced {
		return router.RateLimit{}
	}
	known.schedule.Charge(now, known.heard.PerSecond)
	return known.heard.RateLimit
}

// Limit returns the limit of an incarnation.
func (t *Throttler) Limit(upstream, start string) router.RateLimit {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.limits[incarnation{upstream, start}]; known != nil {
		return known.heard.RateLimit
	}
	return router.RateLimit{}
}

// lead says whether this member schedules, and begins anew where it has not led in
// this term. The mutex is held.
func (t *Throttler) lead(now time.Time) bool {
	term, leading := t.settings.Lead()
	if leading && term != t.term {
		t.term, t.from = term, now.Add(limiter.ScheduleHorizon)
		for _, known := range t.limits {
			known.schedule = limiter.NewSchedule(t.from)
		}
		t.settings.Log.Info("schedules requests", zap.Uint64("term", term), zap.Int("limits", len(t.limits)))
	}
	return leading
}

// hear takes in the newest word on a limit. It returns nil for an incarnation that
// never named one. The mutex is held.
func (t *Throttler) hear(now time.Time, heard router.ObservedLimit) *limit {
	from := incarnation{heard.Upstream, heard.Incarnation}
	known := t.limits[from]
	if known == nil && !heard.Announced {
		return nil
	}
	if known == nil {
		t.forgetOldest(now)
		known = &limit{schedule: limiter.NewSchedule(later(t.from, now))}
		t.limits[from] = known
	}
	known.touched = now
	if !heard.Overrides(known.heard) {
		return known
	}
	if heard.RateLimit != known.heard.RateLimit {
		t.settings.Log.Info("limit heard", zap.String("upstream", heard.Upstream),
			zap.String("incarnation", heard.Incarnation), zap.Bool("limited", heard.Announced),
			zap.Float64("per-second", heard.PerSecond), zap.Float64("before", known.heard.PerSecond),
			zap.Duration("age", now.Sub(heard.At)))
	}
	known.heard = heard
	t.told.Set(from.key(), heard)
	return known
}

// schedule reserves what an entry wants, as far as there is room. The mutex is
// held.
func (t *Throttler) schedule(now time.Time, known *limit, ask router.ReservationRequest) router.Reservation {
	reservation := router.Reservation{Upstream: ask.Upstream, Incarnation: ask.Incarnation}
	if !known.heard.Announced {
		// the entry hears that the limit has ended with the next heartbeat
		reservation.RetryAt = now.Add(endedPause)
		return reservation
	}
	if ask.Optional && !known.schedule.Idle(now) {
		return reservation
	}
	for range ask.Wanted {
		due, reserved := known.schedule.Reserve(now, known.heard.PerSecond)
		if !reserved {
			reservation.RetryAt = due
			t.denied.Inc(1)
			break
		}
		t.reserved.Inc(1)
		reservation.Permits = append(reservation.Permits, limiter.Permit{From: due, Until: due.Add(limiter.PermitTime)})
	}
	return reservation
}

// pause is the time until an entry may ask again: longer the more entries ask. The
// mutex is held.
func (t *Throttler) pause(now time.Time, entry string) time.Duration {
	t.askers[entry] = now
	if now.Sub(t.countedAt) >= countTime {
		t.countedAt = now
		maps.DeleteFunc(t.askers, func(_ string, at time.Time) bool { return now.Sub(at) > askerTime })
	}
	return max(shortestPause, time.Duration(len(t.askers))*time.Second/questionRate)
}

// forgetOldest makes room for one more limit. The mutex is held.
func (t *Throttler) forgetOldest(now time.Time) {
	if len(t.limits) < mostLimits {
		return
	}
	var oldest incarnation
	for from, known := range t.limits {
		if now.Sub(known.touched) > forgetTime {
			delete(t.limits, from)
			continue
		}
		if first := t.limits[oldest]; first == nil || known.touched.Before(first.touched) {
			oldest = from
		}
	}
	if len(t.limits) >= mostLimits {
		delete(t.limits, oldest)
	}
	kept := make(map[string]bool, len(t.limits))
	for from := range t.limits {
		kept[from.key()] = true
	}
	t.told.Retain(func(key string) bool { return kept[key] })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
