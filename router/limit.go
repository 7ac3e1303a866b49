package router

import (
	"sync"
	"time"
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

// LimitChange is what an answer changed.
type LimitChange struct {
	Changed bool
	// Before is the limit until then.
	Before RateLimit
}

// limited is an incarnation that has named a limit.
type limited struct {
	mutex sync.Mutex
	heard HeardLimit
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
	return known.heed(HeardLimit{
		Upstream: choice.Upstream, Incarnation: choice.Incarnation, RateLimit: limit, At: now,
	}, sentAt)
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
	return known
}

func (l *limited) heardAt() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.heard.At
}

func (l *limited) heed(heard HeardLimit, sentAt time.Time) LimitChange {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !heard.Named && !sentAt.After(l.heard.At) {
		return LimitChange{}
	}
	change := LimitChange{Changed: heard.RateLimit != l.heard.RateLimit, Before: l.heard.RateLimit}
	l.heard = heard
	return change
}

// limit returns the limit that holds.
func (l *limited) limit() RateLimit {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.heard.RateLimit
}

// Limit returns the limit of the upstream of a choice.
func (r *Router) Limit(choice Choice) RateLimit {
	if known := r.limitOf(incarnation{choice.Upstream, choice.Incarnation}); known != nil {
		return known.limit()
	}
	return RateLimit{}
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
