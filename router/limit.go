package router

import (
	"slices"
	"sync"
	"time"

	"burdocklink/limiter"
)

// RateLimit is what an upstream says of the requests that it takes.
type RateLimit struct {
	// Named is false where it names no limit.
	Named bool
	// PerSecond is how many requests a second it takes from all VMs together.
	PerSecond float64
}

// HeardLimit is the limit of an incarnation as last heard.
type HeardLimit struct {
	Upstream    string
	Incarnation string
	RateLimit
	// At is when it was heard.
	At time.Time
}

// Overrides says whether a word is newer than another one. Of two that were heard
// at the same moment, one that names a limit is.
func (h HeardLimit) Overrides(other HeardLimit) bool {
	return h.At.After(other.At) || (h.At.Equal(other.At) && h.Named && !other.Named)
}

// LimitChange is what an answer changed.
type LimitChange struct {
	Changed bool
	// Before is the limit until then.
	Before RateLimit
}

// LimitAsk is a limit that is to be told, and how many requests this entry wants
// to send to the upstream; zero where it is only told.
type LimitAsk struct {
	HeardLimit
	Wanted int
	// Spare is true where the requests could go elsewhere: they are sent where
	// nobody needs the upstream.
	Spare bool
}

// Reservation is what this entry may send to an upstream with a limit.
type Reservation struct {
	Upstream    string
	Incarnation string
	Permits     []limiter.Permit
	// AskAt is when to ask again where fewer were reserved than were wanted; zero
	// otherwise.
	AskAt time.Time
}

const (
	// mostWanted bounds the requests that are asked for at once, so that one entry
	// does not take what others wait for.
	mostWanted = 8
	// unansweredTime is how long a question for permits is waited for.
	unansweredTime = time.Second
	// wantTime is how long a request counts as one that waits after it found no
	// permit: those that wait look again several times meanwhile.
	wantTime = 100 * time.Millisecond
	// spareTime is the time between two questions for requests that could go
	// elsewhere. In their answers an entry hears the end of a limit.
	spareTime = time.Second
)

// limited is an incarnation that has named a limit. This entry sends to it only
// what was reserved for it: the limit holds for all VMs together.
type limited struct {
	mutex   sync.Mutex
	heard   HeardLimit
	permits limiter.Permits
	// toldTo is who was told the limit as it is.
	toldTo string
	// wanting are the requests, by seed, that found no permit since the last
	// question, the first ones only; wantedAt is when one did so last. An answer to
	// that question is waited for until askedUntil.
	wanting    [mostWanted]uint64
	wanted     int
	wantedAt   time.Time
	askedUntil time.Time
	// spare is true where a request would have gone to the upstream that could go
	// elsewhere, and spareAt when to ask for such a one again.
	spare   bool
	spareAt time.Time
	// askAt is when to ask again after fewer were reserved than were wanted.
	askAt time.Time
}

// HeedLimit takes in the limit that an answer names to a request that was sent at
// a time. An answer that names none ends a limit only where the request was sent
// after the limit was last heard of: answers overtake each other.
func (r *Router) HeedLimit(now time.Time, choice Choice, sentAt time.Time, limit RateLimit) LimitChange {
	from := incarnation{choice.Upstream, choice.Incarnation}
	known := r.limitOf(from)
	if known == nil && !limit.Named {
		return LimitChange{}
	}
	if known == nil {
		known = r.addLimit(now, from)
	}
	change := known.heed(HeardLimit{
		Upstream: choice.Upstream, Incarnation: choice.Incarnation, RateLimit: limit, At: now,
	}, sentAt)
	if change.Changed {
		r.wake()
	}
	return change
}

// TakeLimits takes in what others have heard of limits, and says whether anything
// changed.
func (r *Router) TakeLimits(now time.Time, from string, heard []HeardLimit) bool {
	changed := false
	for _, one := range heard {
		known := r.limitOf(incarnation{one.Upstream, one.Incarnation})
		if known == nil && !one.Named {
			continue
		}
		if known == nil {
			known = r.addLimit(now, incarnation{one.Upstream, one.Incarnation})
		}
		changed = known.learn(one, from) || changed
	}
	return changed
}

// Wanting receives where permits are wanted or a limit is to be told.
func (r *Router) Wanting() <-chan struct{} { return r.wanting }

func (r *Router) wake() {
	select {
	case r.wanting <- struct{}{}:
	default:
	}
}

// LimitAsks returns what is to be asked of a member of the control group, and
// told to it, and when the next question may be due; zero for never.
func (r *Router) LimitAsks(now time.Time, member string) (asks []LimitAsk, next time.Time) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	for _, one := range r.limits {
		ask, due, later := one.ask(now, member)
		if due {
			asks = append(asks, ask)
		}
		if !later.IsZero() && (next.IsZero() || later.Before(next)) {
			next = later
		}
	}
	return asks, next
}

// Asked says whether questions were answered by the member that they were for.
func (r *Router) Asked(member string, asks []LimitAsk, answered bool) {
	for _, ask := range asks {
		if known := r.limitOf(incarnation{ask.Upstream, ask.Incarnation}); known != nil {
			known.asked(member, ask, answered)
		}
	}
}

// TakeReservations takes in what this entry may send.
func (r *Router) TakeReservations(reservations []Reservation) {
	for _, one := range reservations {
		if known := r.limitOf(incarnation{one.Upstream, one.Incarnation}); known != nil {
			known.reserve(one)
		}
	}
}

// TakePermit uses a permit for one more request to the upstream of a choice. It
// returns false where the upstream has a limit and there is none.
func (r *Router) TakePermit(now time.Time, choice Choice) bool {
	known := r.limitOf(incarnation{choice.Upstream, choice.Incarnation})
	if known == nil {
		return true
	}
	_, allowed := known.take(now)
	if !allowed {
		known.want(now, 0)
		r.wake()
	}
	return allowed
}

// Limit returns the limit of the upstream of a choice.
func (r *Router) Limit(choice Choice) RateLimit {
	if known := r.limitOf(incarnation{choice.Upstream, choice.Incarnation}); known != nil {
		return known.limit()
	}
	return RateLimit{}
}

func (r *Router) limitOf(from incarnation) *limited {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.limits[from]
}

func (r *Router) addLimit(now time.Time, from incarnation) *limited {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.limits[from]
	if known == nil {
		forgetOldest(r.limits, now, (*limited).heardAt)
		known = &limited{}
		r.limits[from] = known
	}
	if u := r.table.find(from.name, from.start); u != nil {
		u.limited.Store(known)
	}
	return known
}

// countLimited is how many upstreams of the table have a limit. The mutex is held.
func (r *Router) countLimited() int {
	count := 0
	for from, known := range r.limits {
		if r.table.find(from.name, from.start) != nil && known.limit().Named {
			count++
		}
	}
	return count
}

func (l *limited) heardAt() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.heard.At
}

// limit returns the limit that holds.
func (l *limited) limit() RateLimit {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.heard.RateLimit
}

func (l *limited) heed(heard HeardLimit, sentAt time.Time) LimitChange {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !heard.Named && !sentAt.After(l.heard.At) {
		return LimitChange{}
	}
	return l.set(heard)
}

// learn takes in what a member of the control group heard. It need not be told of
// it.
func (l *limited) learn(heard HeardLimit, from string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !heard.Overrides(l.heard) {
		return false
	}
	change := l.set(heard)
	l.toldTo = from
	return change.Changed
}

// set takes in the newest word. The mutex is held.
func (l *limited) set(heard HeardLimit) LimitChange {
	change := LimitChange{Changed: heard.RateLimit != l.heard.RateLimit, Before: l.heard.RateLimit}
	l.heard = heard
	if change.Changed {
		l.toldTo, l.askAt = "", time.Time{}
	}
	if !heard.Named {
		l.permits.Clear()
		l.wanted, l.spare = 0, false
	}
	return change
}

// look says whether a request may be sent now. Where it may not, due is when one
// may be at the earliest.
func (l *limited) look(now time.Time) (allowed bool, due time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.heard.Named {
		return true, time.Time{}
	}
	if first, found := l.permits.Next(now); found {
		return !now.Before(first.From), first.From
	}
	return false, later(now, l.askAt)
}

// take uses a permit where one is needed. It returns false where there is none.
func (l *limited) take(now time.Time) (limiter.Permit, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.heard.Named {
		return limiter.Permit{}, true
	}
	return l.permits.Take(now)
}

// want notes that a request found no permit.
func (l *limited) want(now time.Time, seed uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.wantedAt = now
	if !l.heard.Named || l.wanted == mostWanted || slices.Contains(l.wanting[:l.wanted], seed) {
		return
	}
	l.wanting[l.wanted] = seed
	l.wanted++
}

// missing is how many permits are to be asked for beside those that are reserved.
// The mutex is held.
func (l *limited) missing(now time.Time) int {
	if now.Sub(l.wantedAt) > wantTime {
		l.wanted = 0
	}
	return max(0, l.wanted-l.permits.Count(now))
}

// wantSpare notes that a request would have gone to the upstream and went
// elsewhere.
func (l *limited) wantSpare() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.spare = l.heard.Named
}

// ask returns the question that is due now, or when the next one is.
func (l *limited) ask(now time.Time, member string) (ask LimitAsk, due bool, next time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ask = LimitAsk{HeardLimit: l.heard}
	missing := l.missing(now)
	if missing > 0 {
		next = later(l.askAt, l.askedUntil)
	}
	if missing > 0 && !next.After(now) {
		ask.Wanted = missing
		l.wanted, l.askedUntil, next = 0, now.Add(unansweredTime), time.Time{}
	}
	if ask.Wanted == 0 && l.spare && !now.Before(l.spareAt) {
		ask.Wanted, ask.Spare = 1, true
		l.spare, l.spareAt = false, now.Add(spareTime)
	}
	return ask, ask.Wanted > 0 || l.toldTo != member, next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// asked takes in whether a question was answered. One that was not is asked again
// by the requests that still wait.
func (l *limited) asked(member string, ask LimitAsk, answered bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.askedUntil = time.Time{}
	if answered && ask.RateLimit == l.heard.RateLimit {
		l.toldTo = member
	}
}

// reserve takes in what may be sent.
func (l *limited) reserve(reservation Reservation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.heard.Named {
		return
	}
	l.permits.Add(reservation.Permits...)
	if !reservation.AskAt.IsZero() {
		l.askAt = reservation.AskAt
	}
}
