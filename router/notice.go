package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklink/cataloger"
)

// Notice is what an upstream says of itself beside an answer.
type Notice struct {
	// Leaving is final for the incarnation.
	Leaving bool
	// PausedUntil is how long it wants no requests from this entry, zero where it
	// asks for no pause.
	PausedUntil time.Time
}

// NoticeChange is what a notice changed.
type NoticeChange struct {
	// Leaving is true where the upstream was not known to leave.
	Leaving bool
	// PauseChanged is true where a pause has begun or is much longer now.
	PauseChanged bool
	// PausedUntil is the end of the pause for this entry.
	PausedUntil time.Time
}

// Returns after a pause.
const (
	// entryReturnSpread is how far apart entries return to an upstream that paused for
	// all of them. It is one step of the return.
	entryReturnSpread = 250 * time.Millisecond
	// callerRetrySpread is how far apart refused callers are told to come back. It is
	// half of the time in which the return is gradual.
	callerRetrySpread = time.Second
	// significantExtension is by how much a pause grows before that counts as a change:
	// upstreams repeat a pause in each refusal.
	significantExtension = time.Second
	// incarnationRetention is how long a notice is kept for an incarnation that the catalog
	// does not know any more and may know again, and mostHeard how many are.
	incarnationRetention = time.Hour
	maxIncarnations      = 8192
)

// incarnation is one start of an upstream.
type incarnation struct{ upstream, id string }

// noticeState is what an incarnation said of itself.
type noticeState struct {
	leaving     bool
	pausedUntil time.Time
	updatedAt   time.Time
}

// ObserveNotice takes in what an upstream said in an answer. It holds for the incarnation
// only, whether the catalog knows it at the moment or not.
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

// returnDelay is by how much this entry returns later to an upstream than the
// upstream asks for.
func (r *Router) returnDelay(name string) time.Duration {
	return time.Duration(splitmix64(r.settings.Seed^xxhash.Sum64String(name)) % uint64(entryReturnSpread))
}

// mergeNotice joins a notice to those heard before. The mutex is held.
func (r *Router) mergeNotice(now time.Time, key incarnation, notice Notice) NoticeChange {
	known, ok := r.notices[key]
	if !ok {
		evictOldest(r.notices, now, func(state noticeState) time.Time { return state.updatedAt })
	}
	change := NoticeChange{Leaving: notice.Leaving && !known.leaving}
	if notice.PausedUntil.After(known.pausedUntil) {
		began := !now.Before(known.pausedUntil)
		change.PauseChanged = began || notice.PausedUntil.Sub(known.pausedUntil) >= significantExtension
		known.pausedUntil = notice.PausedUntil
	}
	change.PausedUntil = known.pausedUntil
	known.leaving = known.leaving || notice.Leaving
	known.updatedAt = now
	r.notices[key] = known
	return change
}

// restore has an upstream heed what its incarnation was heard to say. The mutex
// is held.
func (r *Router) restore(name string) {
	u := r.table.upstreams[name]
	if state, known := r.notices[incarnation{name, u.info.Incarnation}]; known {
		u.applyNotice(Notice{Leaving: state.leaving, PausedUntil: state.pausedUntil})
	}
	if rl := r.limits[incarnation{name, u.info.Incarnation}]; rl != nil {
		u.rateLimit.Store(rl)
	}
}

// evictOldest makes room for one more incarnation of which something was heard
// at a time.
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

// Allows says whether a request may still go to the upstream of a choice: what
// has become known since the choice counts.
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

// Counts are how many upstreams get no requests or few, by what told it.
type Counts struct {
	// LeavingListed is told by the catalog, LeavingReported by the upstreams'
	// reports and LeavingAnswered by their answers.
	LeavingListed, LeavingReported, LeavingAnswered int
	// PausedAnswered is told by the upstreams' answers.
	PausedAnswered int
	// Limited have named a limit of requests.
	Limited int
}

// Counts counts the upstreams that get no requests or few.
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
	if u.pause.Holds(now) {
		counts.PausedAnswered++
	}
}

func (m *measurements) applyNotice(notice Notice) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.answeredLeaving = m.answeredLeaving || notice.Leaving
	m.pause.Extend(notice.PausedUntil)
}

// leaving says whether the upstream itself said that it leaves.
func (m *measurements) leaving() bool { return m.reportedLeaving || m.answeredLeaving }

// accepting says whether the upstream wants requests.
func (m *measurements) accepting(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.leaving() && !m.pause.Holds(now)
}

// pausedUntil returns the end of a pause that holds, zero where there is none or
// the upstream leaves.
func (m *measurements) pausedUntil(now time.Time) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.leaving() || !m.pause.Holds(now) {
		return time.Time{}
	}
	return m.pause.Until
}
