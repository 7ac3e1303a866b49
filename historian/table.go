// Package historian remembers which software began each stream. Upstreams of several
// software versions may serve side by side, and a stream that a caller takes up again goes
// on only at the version that began it. Any entry may get the take-up, and entries may all
// have been restarted since.
//
// Entries keep the origins of the streams that they began and send them to the leader of
// the control group while several versions are in use. The Archive keeps them there and
// decides. Which versions there were is part of the replicated catalog.
package historian

import (
	"time"

	"burdocklink/router"
)

const (
	// originLifetime is how long the origin of a stream is kept at least. It exceeds the
	// time in which callers take a stream up again.
	originLifetime = 5 * time.Minute
	// maxIDBytes is the length of the longest request ID that is kept.
	maxIDBytes = 128
)

// Table maps the IDs of the requests that began streams to their origins. It keeps two
// generations of limited size. It is not safe for concurrent use.
type Table struct {
	limit         int
	recent, older map[string]router.Stream
	rotateAt      time.Time
}

// NewTable returns an empty table that keeps up to twice the given number of streams.
func NewTable(limit int) *Table { return &Table{limit: limit, recent: map[string]router.Stream{}} }

// Record adds a stream and reports whether it is new. The first origin of a stream stays.
func (t *Table) Record(id string, stream router.Stream, now time.Time) bool {
	if id == "" || len(id) > maxIDBytes || stream.Origin.IsZero() {
		return false
	}
	if _, known := t.Find(id, now); known {
		return false
	}
	if len(t.recent) >= t.limit {
		t.older, t.recent = t.recent, map[string]router.Stream{}
		t.rotateAt = now.Add(originLifetime)
	}
	t.recent[id] = stream
	return true
}

// Find returns the origin of a stream.
func (t *Table) Find(id string, now time.Time) (router.Stream, bool) {
	t.rotate(now)
	if stream, known := t.recent[id]; known {
		return stream, true
	}
	stream, known := t.older[id]
	return stream, known
}

// All returns the streams of a service by the ID of their first request.
func (t *Table) All(service string, now time.Time) map[string]router.Stream {
	t.rotate(now)
	found := map[string]router.Stream{}
	for _, generation := range []map[string]router.Stream{t.older, t.recent} {
		for id, stream := range generation {
			if stream.Service == service {
				found[id] = stream
			}
		}
	}
	return found
}

// rotate drops the older generation once the recent one is complete.
func (t *Table) rotate(now time.Time) {
	if now.Before(t.rotateAt) {
		return
	}
	t.older, t.recent = t.recent, map[string]router.Stream{}
	if !now.Before(t.rotateAt.Add(originLifetime)) {
		t.older = nil
	}
	t.rotateAt = now.Add(originLifetime)
}
