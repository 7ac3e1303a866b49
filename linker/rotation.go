package linker

import (
	"maps"
	"time"
)

// Rotation chooses which of several addresses that offer the same service is called
// next. It passes over addresses that were found silent until a deadline. It is not
// safe for concurrent use.
type Rotation struct {
	next        int
	silentUntil map[string]time.Time
}

// NewRotation returns a rotation that starts with the first address.
func NewRotation() *Rotation { return &Rotation{silentUntil: map[string]time.Time{}} }

// MarkSilent passes over an address until a deadline. Deadlines that have passed are
// dropped.
func (r *Rotation) MarkSilent(address string, now, until time.Time) {
	maps.DeleteFunc(r.silentUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	r.silentUntil[address] = until
}

// MarkHeard ends the time for which an address is passed over.
func (r *Rotation) MarkHeard(address string) { delete(r.silentUntil, address) }

// Silent reports whether an address is passed over.
func (r *Rotation) Silent(address string, now time.Time) bool {
	return now.Before(r.silentUntil[address])
}

// Next returns the preferred address, or the next of the addresses in turn if it is
// empty or silent. If all are silent, it returns the one whose deadline is first.
// There must be one or more addresses.
func (r *Rotation) Next(preferred string, addresses []string, now time.Time) string {
	if preferred != "" && !r.Silent(preferred, now) {
		return preferred
	}
	for range addresses {
		address := addresses[r.next%len(addresses)]
		r.next++
		if !r.Silent(address, now) {
			return address
		}
	}
	return r.longestSilent(addresses)
}

func (r *Rotation) longestSilent(addresses []string) string {
	first := addresses[0]
	for _, address := range addresses[1:] {
		if r.silentUntil[address].Before(r.silentUntil[first]) {
			first = address
		}
	}
	return first
}
