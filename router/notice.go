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

// Change is what a notice changed.
type Change struct {
	// Leaves is true where the upstream was not known to leave.
	Leaves bool
	// Pauses is true where a pause has begun or is much longer now.
	Pauses bool
	// Until is the end of the pause for this entry.
	Until time.Time
}

// Returns after a pause.
const (
	// entrySpread is how far apart entries return to an upstream that paused for
	// all of them. It is one step of the return.
	entrySpread = 250 * time.Millisecond
	// callerSpread is how far apart refused callers are told to come back. It is
	// half of the time in which the return is gradual.
	callerSpread = time.Second
	// muchLonger is by how much a pause grows before that counts as a change:
	// upstreams repeat a pause in each refusal.
	muchLonger = time.Second
	// heardTime is how long a notice is kept for an incarnation that the catalog
	// does not know any more and may know again, and mostHeard how many are.
	heardTime = time.Hour
	mostHeard = 8192
)

// incarnation is one start of an upstream.
type incarnation struct{ name, start string }

// heard is what an incarnation said of itself.
type heard struct {
	leaving     bool
	pausedUntil time.Time
	at          time.Time
}

// Heed takes in what an upstream said in an answer. It holds for the incarnation
// only, whether the catalog knows it at the moment or not.
func (r *Router) Heed(now time.Time, choice Choice, notice Notice) Change {
	if !notice.PausedUntil.IsZero() {
		notice.PausedUntil = notice.PausedUntil.Add(r.returnDelay(choice.Upstream))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change := r.remember(now, incarnation{choice.Upstream, choice.Incarnation}, notice)
	if u := r.table.find(choice.Upstream, choice.Incarnation); u != nil {
		u.heed(notice)
	}
	return change
}

// returnDelay is by how much this entry returns later to an upstream than the
// upstream asks for.
func (r *Router) returnDelay(name string) time.Duration {
	return time.Duration(mix(r.settings.Seed^xxhash.Sum64String(name)) % uint64(entrySpread))
}

// remember joins a notice to those heard before. The mutex is held.
func (r *Router) remember(now time.Time, from incarnation, notice Notice) Change {
	known, ok := r.heard[from]
	if !ok {
		forgetOldest(r.heard, now, func(one heard) time.Time { return one.at })
	}
	change := Change{Leaves: notice.Leaving && !known.leaving}
	if notice.PausedUntil.After(known.pausedUntil) {
		began := !now.Before(known.pausedUntil)
		change.Pauses = began || notice.PausedUntil.Sub(known.pausedUntil) >= muchLonger
		known.pausedUntil = notice.PausedUntil
	}
	change.Until = known.pausedUntil
	known.leaving = known.leaving || notice.Leaving
	known.at = now
	r.heard[from] = known
	return change
}

// recall has an upstream heed what its incarnation was heard to say. The mutex
// is held.
func (r *Router) recall(name string) {
	u := r.table.upstreams[name]
	if said, known := r.heard[incarnation{name, u.about.Incarnation}]; known {
		u.heed(Notice{Leaving: said.leaving, PausedUntil: said.pausedUntil})
	}
	if known := r.limits[incarnation{name, u.about.Incarnation}]; known != nil {
		u.limited.Store(known)
	}
}

// forgetOldest makes room for one more incarnation of which something was heard
// at a time.
func forgetOldest[V any](known map[incarnation]V, now time.Time, heardAt func(V) time.Time) {
	if len(known) < mostHeard {
		return
	}
	var oldest incarnation
	var oldestAt time.Time
	for from, one := range known {
		at := heardAt(one)
		if now.Sub(at) > heardTime {
			delete(known, from)
			continue
		}
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = from, at
		}
	}
	if len(known) >= mostHeard {
		delete(known, oldest)
	}
}

// Allows says whether a request may still go to the upstream of a choice: what
// has become known since the choice counts.
func (r *Router) Allows(now time.Time, choice Choice) bool {
	u := r.find(choice.Upstream, choice.Incarnation)
	if u == nil {
		return true
	}
	if u.about.State != cataloger.UpstreamLive || !u.open(now) {
		return false
	}
	return now.Before(choice.PermitUntil) || r.TakePermit(now, choice)
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
	if u.about.State == cataloger.UpstreamLeaving {
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

func (m *measured) heed(notice Notice) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.answeredLeaving = m.answeredLeaving || notice.Leaving
	m.pause.Extend(notice.PausedUntil)
}

// leaving says whether the upstream itself said that it leaves.
func (m *measured) leaving() bool { return m.reportedLeaving || m.answeredLeaving }

// open says whether the upstream wants requests.
func (m *measured) open(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.leaving() && !m.pause.Active(now)
}

// pausedUntil returns the end of a pause that holds, zero where there is none or
// the upstream leaves.
func (m *measured) pausedUntil(now time.Time) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.leaving() || !m.pause.Active(now) {
		return time.Time{}
	}
	return m.pause.Until
}
