package router

import (
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
	if !allowed && known.want(now, 0) {
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
