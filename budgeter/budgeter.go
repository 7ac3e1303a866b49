// Package budgeter bounds the memory that the bodies of requests and answers take in a
// process. Bodies share one budget. A body that arrives slowly is given up for others once
// the budget is used up.
package budgeter

import (
	"sync"
	"time"
)

const (
	// smallBytes is the size up to which a body may use the whole budget. Larger ones leave
	// a part, so that ordinary requests are served beside them.
	smallBytes = 64 << 10
	// largeFraction is the part of the budget that is open to larger bodies.
	largeFraction = 0.75
	// graceTime is how long a body may take to arrive before it counts as slow.
	graceTime = 500 * time.Millisecond
	// slowBytesPerSecond is the rate below which a body is slow. A body of 4 MiB takes
	// 64 s at this rate, longer than any caller waits.
	slowBytesPerSecond = 64 << 10
)

// FullError is returned if the budget is used up.
type FullError struct {
	// Limit is the size of the budget, in bytes.
	Limit int64
}

// Error describes the refusal.
func (e *FullError) Error() string { return "the memory for bodies is used up" }

// Budget is shared by all bodies of a process. It is safe for concurrent use.
type Budget struct {
	limit int64

	mutex sync.Mutex
	used  int64
	// arriving are the bodies that have not arrived as a whole.
	arriving map[*Body]struct{}
	evicted  int64
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, arriving: map[*Body]struct{}{}}
}

// Used returns the number of bytes in use, and how many bodies were given up so far.
func (b *Budget) Used() (used, evicted int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used, b.evicted
}

// Body is the part of a budget that one body uses.
type Body struct {
	budget *Budget
	// evict makes reading the body fail; nil for a body that can't be given up.
	evict    func()
	openedAt time.Time
	// size is the number of bytes reserved, received how many have arrived.
	size     int64
	received int64
	// gone is true once the bytes have been given back or to others.
	gone bool
}

// Open returns a body without bytes. Evict is called at most once, without locks held, if
// the body is given up while it arrives; nil if that is not possible. Release must be
// called in the end.
func (b *Budget) Open(now time.Time, evict func()) *Body {
	body := &Body{budget: b, evict: evict, openedAt: now}
	if evict != nil {
		b.mutex.Lock()
		b.arriving[body] = struct{}{}
		b.mutex.Unlock()
	}
	return body
}

// Reserve grows the body to size bytes, of which received have arrived. If the budget is
// used up, the slowest bodies are given up. It returns a *FullError if that is not enough,
// and an *EvictedError if the body itself was given up or released.
func (o *Body) Reserve(now time.Time, size, received int64) error {
	b := o.budget
	b.mutex.Lock()
	if o.gone {
		b.mutex.Unlock()
		return &EvictedError{}
	}
	o.received = received
	limit := b.limit
	if size > smallBytes {
		limit = int64(largeFraction * float64(b.limit))
	}
	var victims []*Body
	needed := b.used + size - o.size - limit
	for needed > 0 {
		victim := b.slowest(now, o)
		if victim == nil {
			break
		}
		needed -= victim.size
		b.remove(victim)
		victims = append(victims, victim)
		b.evicted++
	}
	full := needed > 0
	if !full {
		b.used += size - o.size
		o.size = size
	}
	b.mutex.Unlock()
	for _, victim := range victims {
		victim.evict()
	}
	if full {
		return &FullError{Limit: b.limit}
	}
	return nil
}

// slowest returns the slow body with the lowest rate other than the given one, or nil. The
// mutex must be held.
func (b *Budget) slowest(now time.Time, other *Body) *Body {
	var slowest *Body
	lowest := float64(slowBytesPerSecond)
	for body := range b.arriving {
		age := now.Sub(body.openedAt)
		if body == other || body.size == 0 || age < graceTime {
			continue
		}
		if rate := float64(body.received) / age.Seconds(); rate < lowest {
			slowest, lowest = body, rate
		}
	}
	return slowest
}

// remove takes a body out of the budget. The mutex must be held.
func (b *Budget) remove(body *Body) {
	b.used -= body.size
	body.size, body.gone = 0, true
	delete(b.arriving, body)
}

// Complete records that the body has arrived as a whole, so that it is not given up any
// more. It returns an *EvictedError if it has been.
func (o *Body) Complete() error {
	b := o.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if o.gone {
		return &EvictedError{}
	}
	delete(b.arriving, o)
	return nil
}

// Release gives the bytes back. Further calls have no effect.
func (o *Body) Release() {
	b := o.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.remove(o)
}
