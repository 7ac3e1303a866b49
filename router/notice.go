package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklink/cataloger"
)

// Notice is what an upstream announces about itself in an answer.
type Notice struct {
	// Leaving is final for the incarnation.
	Leaving bool
	// PausedUntil is the end of the pause that it requests of this entry; zero if it
	// requests none.
	PausedUntil time.Time
}

// NoticeChange is the effect of a notice.
type NoticeChange struct {
	// Leaving is set if the upstream was not known to be leaving.
	Leaving bool
	// PauseChanged is set if a pause has begun or grown by significantExtension.
	PauseChanged bool
	// PausedUntil is the end of the pause for this entry.
	PausedUntil time.Time
}

// Timing of the return after a pause.
const (
	// entryReturnSpread is the period over which entries spread their return to an
	// upstream that paused for all of them. It equals one step of the gradual return.
	entryReturnSpread = 250 * time.Millisecond
	// callerRetrySpread is the period over which the retries of refused callers are
	// spread.
	// It is half the duration of the gradual return.
	callerRetrySpread = time.Second
	// significantExtension is by how much a pause must grow to count as changed:
	// upstreams repeat a pause in each refusal.
	significantExtension = time.Second
	// incarnationRetention is how long a notice is kept for an incarnation that the
	// catalog has dropped and may list again; at most maxIncarnations are kept.
	incarnationRetention = time.Hour
	maxIncarnations      = 8192
)

// incarnation identifies one start of an upstream.
type incarnation struct{ upstream, id string }

// noticeState is what an incarnation has announced so far.
type noticeState struct {
	leaving     bool
	pausedUntil time.Time
	updatedAt   time.Time
}

// ObserveNotice records the notice in an answer of an upstream. It applies to that
// incarnation only, whether or not the catalog lists it at the moment.
func (r *Router) ObserveNotice(now time.Time, choice Choice, notice Notice) NoticeChange {
	if !notice.PausedUntil.IsZero() {
		notice.PausedUntil = notice.PausedUntil.Add(r.returnDelay(choice.Upstream))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change := r.mergeNotice(now, incarnation{choice.Upstream, choice.Incarnation}, notice)
	if u := r.table.find(choice.Upstream, choice.Incarnation); u != nil {
		u.applyNotice(notice)
	}
	return change
}

// returnDelay returns how much later than requested this entry returns to an upstream.
func (r *Router) returnDelay(name string) time.Duration {
	return time.Duration(splitmix64(r.settings.Seed^xxhash.Sum64String(name)) % uint64(entryReturnSpread))
}

// mergeNotice merges a notice into the earlier ones. The mutex must be held.
func (r *Router) mergeNotice(now time.Time, key incarnation, notice Notice) NoticeChange {
	state, ok := r.notices[key]
	if !ok {
		evictOldest(r.notices, now, func(state noticeState) time.Time { return state.updatedAt })
	}
	change := NoticeChange{Leaving: notice.Leaving && !state.leaving}
	if notice.PausedUntil.After(state.pausedUntil) {
		newPause := !now.Before(state.pausedUntil)
		change.PauseChanged = newPause || notice.PausedUntil.Sub(state.pausedUntil) >= significantExtension
		state.pausedUntil = notice.PausedUntil
	}
	change.PausedUntil = state.pausedUntil
	state.leaving = state.leaving || notice.Leaving
	state.updatedAt = now
	r.notices[key] = state
	return change
}

// restore applies earlier notices and limits of its incarnation to an upstream. The
// mutex must be held.
func (r *Router) restore(name string) {
	u := r.table.upstreams[name]
	if state, known := r.notices[incarnation{name, u.info.Incarnation}]; known {
		u.applyNotice(Notice{Leaving: state.leaving, PausedUntil: state.pausedUntil})
	}
	if rl := r.limits[incarnation{name, u.info.Incarnation}]; rl != nil {
		u.rateLimit.Store(rl)
	}
}

// evictOldest makes room for one more incarnation.
func evictOldest[V any](states map[incarnation]V, now time.Time, updatedAt func(V) time.Time) {
	if len(states) < maxIncarnations {
		return
	}
	var oldest incarnation
	var oldestAt time.Time
	for key, state := range states {
		at := updatedAt(state)
		if now.Sub(at) > incarnationRetention {
			delete(states, key)
			continue
		}
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = key, at
		}
	}
	if len(states) >= maxIncarnations {
		delete(states, oldest)
	}
}

// Allows reports whether a request may still go to the upstream of a choice, given what
// has been learned since the choice.
func (r *Router) Allows(now time.Time, choice Choice) bool {
	u := r.find(choice.Upstream, choice.Incarnation)
	if u == nil {
		return true
	}
	if u.info.State != cataloger.UpstreamLive || !u.accepting(now) {
		return false
	}
	return now.Before(choice.PermitExpiresAt) || r.TakePermit(now, choice)
}

// Leaving reports whether the upstream of a choice is leaving or no longer listed, so
// that it may stop at any time.
func (r *Router) Leaving(choice Choice) bool {
	u := r.find(choice.Upstream, choice.Incarnation)
	if u == nil || u.info.State != cataloger.UpstreamLive {
		return true
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.leaving()
}

// Counts holds the numbers of upstreams with restricted traffic, by source.
type Counts struct {
	// LeavingListed comes from the catalog, LeavingReported from load reports and
	// LeavingAnswered from answers.
	LeavingListed, LeavingReported, LeavingAnswered int
	// PausedAnswered comes from answers.
	PausedAnswered int
	// Limited counts upstreams with a rate limit.
	Limited int
}

// Counts counts the upstreams with restricted traffic.
func (r *Router) Counts(now time.Time) Counts {
	var counts Counts
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	for _, u := range r.table.upstreams {
		u.count(now, &counts)
	}
	counts.Limited = r.countLimited()
	return counts
}

func (u *upstream) count(now time.Time, counts *Counts) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.info.State == cataloger.UpstreamLeaving {
		counts.LeavingListed++
	}
	if u.reportedLeaving {
		counts.LeavingReported++
	}
	if u.answeredLeaving {
		counts.LeavingAnswered++
	}
	if u.pause.Active(now) {
		counts.PausedAnswered++
	}
}

func (m *measurements) applyNotice(notice Notice) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.answeredLeaving = m.answeredLeaving || notice.Leaving
	m.pause.Extend(notice.PausedUntil)
}

// leaving reports whether the upstream itself announced that it is leaving.
func (m *measurements) leaving() bool { return m.reportedLeaving || m.answeredLeaving }

// accepting reports whether the upstream accepts requests: it is neither leaving nor
// paused.
func (m *measurements) accepting(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.leaving() && !m.pause.Active(now)
}

// pausedUntil returns the end of the current pause; zero if there is none or the
// upstream is leaving.
func (m *measurements) pausedUntil(now time.Time) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.leaving() || !m.pause.Active(now) {
		return time.Time{}
	}
	return m.pause.Until
}
