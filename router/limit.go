package router

import (
	"time"

	"burdocklink/limiter"
)

// RateLimit is what an upstream says of the requests that it takes.
type RateLimit struct {
	// Announced is false where it names no limit.
	Announced bool
	// PerSecond is how many requests a second it takes from all VMs together.
	PerSecond float64
}

// ObservedLimit is the limit of an incarnation as last heard.
type ObservedLimit struct {
	Upstream    string
	Incarnation string
	RateLimit
	// At is when it was heard.
	At time.Time
}

// Overrides says whether a word is newer than another one. Of two that were heard
// at the same moment, one that names a limit is.
func (h ObservedLimit) Overrides(other ObservedLimit) bool {
	return h.At.After(other.At) || (h.At.Equal(other.At) && h.Announced && !other.Announced)
}

// LimitChange is what an answer changed.
type LimitChange struct {
	Changed bool
	// Previous is the limit until then.
	Previous RateLimit
}

// ReservationRequest is a limit that is to be told, and how many requests this entry wants
// to send to the upstream; zero where it is only told.
type ReservationRequest struct {
	ObservedLimit
	Wanted int
	// Optional is true where the requests could go elsewhere: they are sent where
	// nobody needs the upstream.
	Optional bool
}

// Reservation is what this entry may send to an upstream with a limit.
type Reservation struct {
	Upstream    string
	Incarnation string
	Permits     []limiter.Permit
	// RetryAt is when to ask again where fewer were reserved than were wanted; zero
	// otherwise.
	RetryAt time.Time
}

// ObserveLimit takes in the limit that an answer names to a request that was sent at
// a time. An answer that names none ends a limit only where the request was sent
// after the limit was last heard of: answers overtake each other.
func (r *Router) ObserveLimit(now time.Time, choice Choice, sentAt time.Time, limit RateLimit) LimitChange {
	key := incarnation{choice.Upstream, choice.Incarnation}
	rl := r.findLimit(key)
	if rl == nil && !limit.Announced {
		return LimitChange{}
	}
	if rl == nil {
		rl = r.addLimit(now, key)
	}
	change := rl.observe(ObservedLimit{
		Upstream: choice.Upstream, Incarnation: choice.Incarnation, RateLimit: limit, At: now,
	}, sentAt)
	if change.Changed {
		r.signalReservations()
	}
	return change
}

// MergeLimits takes in what others have heard of limits, and says whether anything
// changed.
func (r *Router) MergeLimits(now time.Time, from string, observed []ObservedLimit) bool {
	changed := false
	for _, observation := range observed {
		rl := r.findLimit(incarnation{observation.Upstream, observation.Incarnation})
		if rl == nil && !observation.Announced {
			continue
		}
		if rl == nil {
			rl = r.addLimit(now, incarnation{observation.Upstream, observation.Incarnation})
		}
		changed = rl.merge(observation, from) || changed
	}
	return changed
}

// ReservationsDue receives where permits are wanted or a limit is to be told.
func (r *Router) ReservationsDue() <-chan struct{} { return r.reservationsDue }

func (r *Router) signalReservations() {
	select {
	case r.reservationsDue <- struct{}{}:
	default:
	}
}

// ReservationRequests returns what is to be asked of a member of the control group, and
// told to it, and when the next question may be due; zero for never.
func (r *Router) ReservationRequests(now time.Time, member string) (requests []ReservationRequest, next time.Time) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	for _, rl := range r.limits {
		request, due, retryAt := rl.nextRequest(now, member)
		if due {
			requests = append(requests, request)
		}
		if !retryAt.IsZero() && (next.IsZero() || retryAt.Before(next)) {
			next = retryAt
		}
	}
	return requests, next
}

// FinishReservationRequests says whether questions were answered by the member that they were for.
func (r *Router) FinishReservationRequests(member string, requests []ReservationRequest, answered bool) {
	for _, request := range requests {
		if rl := r.findLimit(incarnation{request.Upstream, request.Incarnation}); rl != nil {
			rl.finishRequest(member, request, answered)
		}
	}
}

// AddReservations takes in what this entry may send.
func (r *Router) AddReservations(reservations []Reservation) {
	for _, reservation := range reservations {
		if rl := r.findLimit(incarnation{reservation.Upstream, reservation.Incarnation}); rl != nil {
			rl.addPermits(reservation)
		}
	}
}

// TakePermit uses a permit for one more request to the upstream of a choice. It
// returns false where the upstream has a limit and there is none.
func (r *Router) TakePermit(now time.Time, choice Choice) bool {
	rl := r.findLimit(incarnation{choice.Upstream, choice.Incarnation})
	if rl == nil {
		return true
	}
	_, allowed := rl.take(now)
	if !allowed && rl.recordWaiting(now, 0) {
		r.signalReservations()
	}
	return allowed
}

// Limit returns the limit of the upstream of a choice.
func (r *Router) Limit(choice Choice) RateLimit {
	if rl := r.findLimit(incarnation{choice.Upstream, choice.Incarnation}); rl != nil {
		return rl.limit()
	}
	return RateLimit{}
}

func (r *Router) findLimit(key incarnation) *rateLimiter {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.limits[key]
}

func (r *Router) addLimit(now time.Time, key incarnation) *rateLimiter {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	rl := r.limits[key]
	if rl == nil {
		evictOldest(r.limits, now, (*rateLimiter).observedAt)
		rl = &rateLimiter{}
		r.limits[key] = rl
	}
	if u := r.table.find(key.upstream, key.id); u != nil {
		u.rateLimit.Store(rl)
	}
	return rl
}

// countLimited is how many upstreams of the table have a limit. The mutex is held.
func (r *Router) countLimited() int {
	count := 0
	for key, rl := range r.limits {
		if r.table.find(key.upstream, key.id) != nil && rl.limit().Announced {
			count++
		}
	}
	return count
}
