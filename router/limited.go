package router

import (
	"slices"
	"sync"
	"time"

	"burdocklink/limiter"
)

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

// want notes that a request found no permit, and says whether that is news.
func (l *limited) want(now time.Time, seed uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.wantedAt = now
	if !l.heard.Named || l.wanted == mostWanted || slices.Contains(l.wanting[:l.wanted], seed) {
		return false
	}
	l.wanting[l.wanted] = seed
	l.wanted++
	return true
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
// elsewhere, and says whether that is news.
func (l *limited) wantSpare() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.spare || !l.heard.Named {
		return false
	}
	l.spare = true
	return true
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
