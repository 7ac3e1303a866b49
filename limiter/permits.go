package limiter

import (
	"slices"
	"time"
)

// Permit allows one request between two times.
type Permit struct{ From, Until time.Time }

// Permits are the requests that one entry may send to an upstream which limits
// the requests of all VMs together. Each is used once.
type Permits struct{ stock []Permit }

// Add takes in permits.
func (p *Permits) Add(permits ...Permit) { p.stock = append(p.stock, permits...) }

// Count is how many permits can still be used, now or later.
func (p *Permits) Count(now time.Time) int {
	p.stock = slices.DeleteFunc(p.stock, func(one Permit) bool { return !now.Before(one.Until) })
	return len(p.stock)
}

// Next returns the first permit that can still be used, now or later.
func (p *Permits) Next(now time.Time) (Permit, bool) {
	if p.Count(now) == 0 {
		return Permit{}, false
	}
	return slices.MinFunc(p.stock, func(a, b Permit) int { return a.From.Compare(b.From) }), true
}

// Take uses a permit that allows a request now.
func (p *Permits) Take(now time.Time) (Permit, bool) {
	first, found := p.Next(now)
	if !found || now.Before(first.From) {
		return Permit{}, false
	}
	p.stock = slices.Delete(p.stock, slices.Index(p.stock, first), slices.Index(p.stock, first)+1)
	return first, true
}

// Clear drops all permits.
func (p *Permits) Clear() { p.stock = nil }
