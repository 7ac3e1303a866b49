package router

import (
	"time"

	"burdocklink/limiter"
)

// RateLimit is the rate limit that an upstream announces.
type RateLimit struct {
	// Announced is false if the upstream has no rate limit.
	Announced bool
	// PerSecond is in requests per second, over all VMs.
	PerSecond float64
}

// ObservedLimit is the rate limit of an incarnation as last observed.
type ObservedLimit struct {
	Upstream    string
	Incarnation string
	RateLimit
	// At is when it was observed.
	At time.Time
}

// Overrides reports whether o is newer than other. Of two observations of the same
// time, the one with a limit is newer.
func (o ObservedLimit) Overrides(other ObservedLimit) bool {
	return o.At.After(other.At) || (o.At.Equal(other.At) && o.Announced && !other.Announced)
}

// LimitChange is the effect of an answer on the known rate limit.
type LimitChange struct {
	Changed bool
	// Previous is the limit before the change.
	Previous RateLimit
}

// ReservationRequest announces a rate limit to the control group and requests permits
// for Wanted requests. Wanted is zero if it only announces the limit.
type ReservationRequest struct {
	ObservedLimit
	Wanted int
	// Optional is set if the requests could go elsewhere. They get permits only while
	// no other entry needs the upstream.
	Optional bool
}

// Reservation holds the permits that this entry was given for a rate-limited upstream.
type Reservation struct {
	Upstream    string
	Incarnation string
	Permits     []limiter.Permit
	// RetryAt is when to request permits again if fewer were granted than wanted; zero
	// otherwise.
	RetryAt time.Time
}

// ObserveLimit records the rate limit announced in the answer to a request that was
// sent at sentAt. An answer without a limit ends a known limit only if the request was
// sent after the limit was last observed, because answers overtake each other.
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

// MergeLimits merges rate limits observed by others, and reports whether anything
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

// ReservationsDue returns a channel that receives when permits are wanted or a limit
// has to be announced.
func (r *Router) ReservationsDue() <-chan struct{} { return r.reservationsDue }

func (r *Router) signalReservations() {
	select {
	case r.reservationsDue <- struct{}{}:
	default:
	}
}

// ReservationRequests returns the requests to send to a member of the control group,
// and when the next one may be due; zero for never.
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

// FinishReservationRequests records whether the member has answered the requests.
func (r *Router) FinishReservationRequests(member string, requests []ReservationRequest, answered bool) {
	for _, request := range requests {
		if rl := r.findLimit(incarnation{request.Upstream, request.Incarnation}); rl != nil {
			rl.finishRequest(member, request, answered)
		}
	}
}

// AddReservations adds the permits granted to this entry.
func (r *Router) AddReservations(reservations []Reservation) {
	for _, reservation := range reservations {
		if rl := r.findLimit(incarnation{reservation.Upstream, reservation.Incarnation}); rl != nil {
			rl.addPermits(reservation)
		}
	}
}

// TakePermit uses a permit for one more request to the upstream of a choice. It returns
// false if the upstream has a rate limit and there is no permit.
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

// Limit returns the rate limit of the upstream of a choice.
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

// countLimited returns how many upstreams in the table have a rate limit. The mutex
// must be held.
func (r *Router) countLimited() int {
	count := 0
	for key, rl := range r.limits {
		if r.table.find(key.upstream, key.id) != nil && rl.limit().Announced {
			count++
		}
	}
	return count
}
