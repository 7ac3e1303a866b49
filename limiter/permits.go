package limiter

import (
	"slices"
	"time"
)

// Permit allows one request from one time until another.
type Permit struct{ From, Until time.Time }

// Permits are the unused permits of one entry for a rate-limited upstream. Each can
// be used once.
type Permits struct{ unused []Permit }

// Add adds permits.
func (p *Permits) Add(permits ...Permit) { p.unused = append(p.unused, permits...) }

// Count returns the number of permits that have not expired.
func (p *Permits) Count(now time.Time) int {
	p.unused = slices.DeleteFunc(p.unused, func(permit Permit) bool { return !now.Before(permit.Until) })
	return len(p.unused)
}

// Next returns the permit with the earliest start among those that have not
// expired.
func (p *Permits) Next(now time.Time) (Permit, bool) {
	if p.Count(now) == 0 {
		return Permit{}, false
	}
	return slices.MinFunc(p.unused, func(a, b Permit) int { return a.From.Compare(b.From) }), true
}

// Take uses a permit that allows a request now.
func (p *Permits) Take(now time.Time) (Permit, bool) {
	first, found := p.Next(now)
	if !found || now.Before(first.From) {
		return Permit{}, false
	}
	p.unused = slices.Delete(p.unused, slices.Index(p.unused, first), slices.Index(p.unused, first)+1)
	return first, true
}

// Clear drops all permits.
func (p *Permits) Clear() { p.unused = nil }
