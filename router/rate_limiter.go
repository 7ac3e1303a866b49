package router

import (
	"slices"
	"sync"
	"time"

	"burdocklink/limiter"
)

const (
	// maxPermitsPerRequest bounds the permits requested at once, so that one entry does
	// not take those that others wait for.
	maxPermitsPerRequest = 8
	// reservationTimeout is how long a reservation request may stay unanswered.
	reservationTimeout = time.Second
	// waitingTTL is how long a request counts as waiting after it found no permit.
	// Requests that still wait try again several times within it.
	waitingTTL = 100 * time.Millisecond
	// optionalInterval is the time between two requests for optional permits. The
	// answers to requests sent with them show when a limit has ended.
	optionalInterval = time.Second
)

// rateLimiter tracks the rate limit of one incarnation. The limit holds for all VMs
// together, so this entry sends only what was reserved for it.
type rateLimiter struct {
	mutex    sync.Mutex
	observed ObservedLimit
	permits  limiter.Permits
	// announcedTo is the member that the current limit was announced to.
	announcedTo string
	// waitingSeeds holds the seeds of the first requests that found no permit since the
	// last reservation request; lastWaitAt is when the latest did. The reservation
	// request times out at requestTimeoutAt.
	waitingSeeds     [maxPermitsPerRequest]uint64
	waiting          int
	lastWaitAt       time.Time
	requestTimeoutAt time.Time
	// optionalWanted is set if a request would have gone to the upstream but could go
	// elsewhere. The next optional permit is requested at nextOptionalAt.
	optionalWanted bool
	nextOptionalAt time.Time
	// retryAt is when to request permits again after fewer were granted than wanted.
	retryAt time.Time
}

func (l *rateLimiter) observedAt() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.observed.At
}

// limit returns the current limit.
func (l *rateLimiter) limit() RateLimit {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.observed.RateLimit
}

func (l *rateLimiter) observe(observed ObservedLimit, sentAt time.Time) LimitChange {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !observed.Announced && !sentAt.After(l.observed.At) {
		return LimitChange{}
	}
	return l.set(observed)
}

// merge merges the limit observed by a member of the control group. The limit is not
// announced to that member again.
func (l *rateLimiter) merge(observed ObservedLimit, from string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !observed.Overrides(l.observed) {
		return false
	}
	change := l.set(observed)
	l.announcedTo = from
	return change.Changed
}

// set stores the newest observation. The mutex must be held.
func (l *rateLimiter) set(observed ObservedLimit) LimitChange {
	change := LimitChange{Changed: observed.RateLimit != l.observed.RateLimit, Previous: l.observed.RateLimit}
	l.observed = observed
	if change.Changed {
		l.announcedTo, l.retryAt = "", time.Time{}
	}
	if !observed.Announced {
		l.permits.Clear()
		l.waiting, l.optionalWanted = 0, false
	}
	return change
}

// check reports whether a request may be sent now, and if not, the earliest time at
// which one may be.
func (l *rateLimiter) check(now time.Time) (allowed bool, availableAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.observed.Announced {
		return true, time.Time{}
	}
	if first, found := l.permits.Next(now); found {
		return !now.Before(first.From), first.From
	}
	return false, latest(now, l.retryAt)
}

// take uses a permit if one is needed. It returns false if there is none.
func (l *rateLimiter) take(now time.Time) (limiter.Permit, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.observed.Announced {
		return limiter.Permit{}, true
	}
	return l.permits.Take(now)
}

// recordWaiting records that a request found no permit, and reports whether it is newly
// recorded.
func (l *rateLimiter) recordWaiting(now time.Time, seed uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastWaitAt = now
	if !l.observed.Announced || l.waiting == maxPermitsPerRequest || slices.Contains(l.waitingSeeds[:l.waiting], seed) {
		return false
	}
	l.waitingSeeds[l.waiting] = seed
	l.waiting++
	return true
}

// missingPermits returns how many permits to request beyond those held. The mutex must
// be held.
func (l *rateLimiter) missingPermits(now time.Time) int {
	if now.Sub(l.lastWaitAt) > waitingTTL {
		l.waiting = 0
	}
	return max(0, l.waiting-l.permits.Count(now))
}

// recordOptional records that a request would have gone to the upstream but went
// elsewhere, and reports whether that is newly recorded.
func (l *rateLimiter) recordOptional() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.optionalWanted || !l.observed.Announced {
		return false
	}
	l.optionalWanted = true
	return true
}

// nextRequest returns the reservation request that is due now, or when the next one is.
func (l *rateLimiter) nextRequest(now time.Time, member string) (request ReservationRequest, due bool, retryAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	request = ReservationRequest{ObservedLimit: l.observed}
	missing := l.missingPermits(now)
	if missing > 0 {
		retryAt = latest(l.retryAt, l.requestTimeoutAt)
	}
	if missing > 0 && !retryAt.After(now) {
		request.Wanted = missing
		l.waiting, l.requestTimeoutAt, retryAt = 0, now.Add(reservationTimeout), time.Time{}
	}
	if request.Wanted == 0 && l.optionalWanted && !now.Before(l.nextOptionalAt) {
		request.Wanted, request.Optional = 1, true
		l.optionalWanted, l.nextOptionalAt = false, now.Add(optionalInterval)
	}
	return request, request.Wanted > 0 || l.announcedTo != member, retryAt
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// finishRequest records whether a reservation request was answered. If not, the
// requests that still wait cause another one.
func (l *rateLimiter) finishRequest(member string, request ReservationRequest, answered bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requestTimeoutAt = time.Time{}
	if answered && request.RateLimit == l.observed.RateLimit {
		l.announcedTo = member
	}
}

// addPermits adds granted permits.
func (l *rateLimiter) addPermits(reservation Reservation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.observed.Announced {
		return
	}
	l.permits.Add(reservation.Permits...)
	if !reservation.RetryAt.IsZero() {
		l.retryAt = reservation.RetryAt
	}
}
