package router

import (
	"slices"
	"sync"
	"time"

	"burdocklink/limiter"
)

const (
	// maxPermitsPerRequest bounds the requests that are asked for at once, so that one entry
	// does not take what others wait for.
	maxPermitsPerRequest = 8
	// reservationTimeout is how long a question for permits is waited for.
	reservationTimeout = time.Second
	// waitingTTL is how long a request counts as one that waits after it found no
	// permit: those that wait look again several times meanwhile.
	waitingTTL = 100 * time.Millisecond
	// optionalInterval is the time between two questions for requests that could go
	// elsewhere. In their answers an entry hears the end of a limit.
	optionalInterval = time.Second
)

// rateLimiter is an incarnation that has named a limit. This entry sends to it only
// what was reserved for it: the limit holds for all VMs together.
type rateLimiter struct {
	mutex    sync.Mutex
	observed ObservedLimit
	permits  limiter.Permits
	// announcedTo is who was told the limit as it is.
	announcedTo string
	// waitingSeeds are the requests, by seed, that found no permit since the last
	// question, the first ones only; wantedAt is when one did so last. An answer to
	// that question is waited for until askedUntil.
	waitingSeeds     [maxPermitsPerRequest]uint64
	waiting          int
	lastWaitAt       time.Time
	requestTimeoutAt time.Time
	// optionalWanted is true where a request would have gone to the upstream that could go
	// elsewhere, and spareAt when to ask for such a one again.
	optionalWanted bool
	nextOptionalAt time.Time
	// retryAt is when to ask again after fewer were reserved than were wanted.
	retryAt time.Time
}

func (l *rateLimiter) observedAt() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.observed.At
}

// limit returns the limit that holds.
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

// merge takes in what a member of the control group heard. It need not be told of
// it.
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

// set takes in the newest word. The mutex is held.
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

// check says whether a request may be sent now. Where it may not, due is when one
// may be at the earliest.
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

// take uses a permit where one is needed. It returns false where there is none.
func (l *rateLimiter) take(now time.Time) (limiter.Permit, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.observed.Announced {
		return limiter.Permit{}, true
	}
	return l.permits.Take(now)
}

// recordWaiting notes that a request found no permit, and says whether that is news.
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

// missingPermits is how many permits are to be asked for beside those that are reserved.
// The mutex is held.
func (l *rateLimiter) missingPermits(now time.Time) int {
	if now.Sub(l.lastWaitAt) > waitingTTL {
		l.waiting = 0
	}
	return max(0, l.waiting-l.permits.Count(now))
}

// recordOptional notes that a request would have gone to the upstream and went
// elsewhere, and says whether that is news.
func (l *rateLimiter) recordOptional() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.optionalWanted || !l.observed.Announced {
		return false
	}
	l.optionalWanted = true
	return true
}

// nextRequest returns the question that is due now, or when the next one is.
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

// finishRequest takes in whether a question was answered. One that was not is asked again
// by the requests that still wait.
func (l *rateLimiter) finishRequest(member string, request ReservationRequest, answered bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requestTimeoutAt = time.Time{}
	if answered && request.RateLimit == l.observed.RateLimit {
		l.announcedTo = member
	}
}

// addPermits takes in what may be sent.
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
