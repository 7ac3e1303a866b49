package surveyor

import (
	"time"

	"burdocklink/cataloger"
)

// ApplyChanges applies changes of the platform's list that another process has
// read.
func (s *Surveyor) ApplyChanges(changes Changes) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appliedAt = time.Now()
	if changes.Full {
		s.applyFull(changes.Upstreams)
		return
	}
	var updates []cataloger.Change
	for _, upstream := range changes.Upstreams {
		updates = s.putListed(updates, s.merge(upstream))
	}
	s.publish(updates)
}

// applyFull replaces the list. The mutex must be held.
func (s *Surveyor) applyFull(upstreams []Upstream) {
	listed := make(map[string]Upstream, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.Name] = s.merge(upstream)
	}
	s.replace(listed)
}

// merge completes an upstream read by another process from the entry's own reading:
// with the holdings, and with the state Leaving of the incarnation. The mutex must be held.
func (s *Surveyor) merge(upstream Upstream) Upstream {
	previous, listed := s.listed[upstream.Name]
	if !listed || previous.Incarnation != upstream.Incarnation {
		return upstream
	}
	upstream.Holds = previous.Holds
	return s.keepLeaving(upstream)
}

// keepLeaving keeps an incarnation in state Leaving, which is final, whichever
// reading is newer. The mutex must be held.
func (s *Surveyor) keepLeaving(upstream Upstream) Upstream {
	previous := s.listed[upstream.Name]
	if previous.State == Leaving && previous.Incarnation == upstream.Incarnation {
		upstream.State = Leaving
	}
	return upstream
}

// applyLeaving applies only the transitions of known incarnations to Leaving. The
// mutex must be held.
func (s *Surveyor) applyLeaving(listed map[string]Upstream) {
	var updates []cataloger.Change
	for name, upstream := range listed {
		previous := s.listed[name]
		if upstream.State != Leaving || previous.State == Leaving || previous.Incarnation != upstream.Incarnation {
			continue
		}
		previous.State = Leaving
		updates = s.putListed(updates, previous)
	}
	s.publish(updates)
}

// putListed stores one upstream and appends the resulting catalog changes. The
// mutex must be held.
func (s *Surveyor) putListed(updates []cataloger.Change, upstream Upstream) []cataloger.Change {
	s.logListed(upstream)
	s.listed[upstream.Name], s.digestValid = upstream, false
	return s.appendChanges(updates, upstream.Name)
}

// ConfirmRead records that another process read the list at a time and that all its
// changes have been applied. This delays the entry's own next read.
func (s *Surveyor) ConfirmRead(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at.After(s.readAt) {
		s.recordRead(at)
	}
	s.expireHoldings(time.Now())
}
