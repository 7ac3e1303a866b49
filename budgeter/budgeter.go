// Package budgeter bounds the memory that the bodies of requests and answers take in a
// process. Bodies share one budget. A body that arrives slowly is given up for others once
// the budget is used up.
package budgeter

import (
	"math"
	"sync"
	"time"
)

const (
	// smallBytes is the size up to which a body may use the whole budget. Larger ones leave
	// a part, so that ordinary requests are served beside them.
	smallBytes = 64 << 10
	// largeFraction is the part of the budget that is open to larger bodies.
	largeFraction = 0.75
	// graceTime is the time over which the rate of a body is measured, and how long it may
	// take before it counts as slow. A body that sends nothing for so long has stopped. The
	// rate is not measured over the whole body: one that is sent at once and stops just short
	// of its end would keep its memory for up to 64 s.
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
	// size is the number of bytes reserved, received how many have arrived, the last of them
	// at receivedAt.
	size       int64
	received   int64
	receivedAt time.Time
	// windowAt is the start of the time over which the rate is being measured, and
	// windowReceived how many bytes had arrived by then. rate is that of the time before, in
	// bytes per second.
	windowAt       time.Time
	windowReceived int64
	rate           float64
	// gone is true once the bytes have been given back or to others.
	gone bool
}

// Open returns a body without bytes. Evict is called at most once, without locks held, if
// the body is given up while it arrives; nil if that is not possible. Release must be
// called in the end.
func (b *Budget) Open(now time.Time, evict func()) *Body {
	body := &Body{budget: b, evict: evict, openedAt: now, receivedAt: now, windowAt: now, rate: math.Inf(1)}
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
	o.advance(now, received)
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

// Advance records how many bytes have arrived.
func (o *Body) Advance(now time.Time, received int64) {
	o.budget.mutex.Lock()
	defer o.budget.mutex.Unlock()
	o.advance(now, received)
}

// advance records how many bytes have arrived. The mutex of the budget must be held.
func (o *Body) advance(now time.Time, received int64) {
	if received > o.received {
		o.received, o.receivedAt = received, now
	}
	if elapsed := now.Sub(o.windowAt); elapsed >= graceTime {
		o.rate = float64(o.received-o.windowReceived) / elapsed.Seconds()
		o.windowAt, o.windowReceived = now, o.received
	}
}

// currentRate returns the rate at which the body arrives, in bytes per second; zero if it
// has stopped. The mutex of the budget must be held.
func (o *Body) currentRate(now time.Time) float64 {
	if now.Sub(o.receivedAt) >= graceTime {
		return 0
	}
	return o.rate
}

// slowest returns the slow body with the lowest rate other than the given one, or nil. Of
// bodies with the same rate it returns the one that has waited longest. The mutex must be
// held.
func (b *Budget) slowest(now time.Time, other *Body) *Body {
	var slowest *Body
	lowest := float64(slowBytesPerSecond)
	for body := range b.arriving {
		if body == other || body.size == 0 || now.Sub(body.openedAt) < graceTime {
			continue
		}
		rate := body.currentRate(now)
		if rate < lowest || slowest != nil && rate == lowest && body.receivedAt.Before(slowest.receivedAt) {
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
