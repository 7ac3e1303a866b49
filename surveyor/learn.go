package surveyor

import (
	"time"

	"burdocklink/cataloger"
)

// ApplyChanges takes in what another process has read of the platform's list.
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

// applyFull takes in a whole list. The mutex is held.
func (s *Surveyor) applyFull(upstreams []Upstream) {
	listed := make(map[string]Upstream, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.Name] = s.merge(upstream)
	}
	s.replace(listed)
}

// merge keeps what an own reading says beside the other process's: what is held,
// and that an incarnation leaves, which is final. The mutex is held.
func (s *Surveyor) merge(upstream Upstream) Upstream {
	known, listed := s.listed[upstream.Name]
	if !listed || known.Incarnation != upstream.Incarnation {
		return upstream
	}
	upstream.Holds = known.Holds
	return s.keepLeaving(upstream)
}

// keepLeaving keeps an incarnation leaving that was known to leave, whichever
// reading is newer. The mutex is held.
func (s *Surveyor) keepLeaving(upstream Upstream) Upstream {
	known := s.listed[upstream.Name]
	if known.State == Leaving && known.Incarnation == upstream.Incarnation {
		upstream.State = Leaving
	}
	return upstream
}

// applyLeaving takes in only which known incarnations leave. The mutex is held.
func (s *Surveyor) applyLeaving(listed map[string]Upstream) {
	var updates []cataloger.Change
	for name, upstream := range listed {
		known := s.listed[name]
		if upstream.State != Leaving || known.State == Leaving || known.Incarnation != upstream.Incarnation {
			continue
		}
		known.State = Leaving
		updates = s.putListed(updates, known)
	}
	s.publish(updates)
}

// putListed lists one upstream and adds to news what became different. The mutex is
// held.
func (s *Surveyor) putListed(updates []cataloger.Change, upstream Upstream) []cataloger.Change {
	s.logListed(upstream)
	s.listed[upstream.Name], s.digestValid = upstream, false
	return s.appendChanges(updates, upstream.Name)
}

// ConfirmRead notes that the other process's list was read at a time, and that all
// of it has been learned. The own reading is put off.
func (s *Surveyor) ConfirmRead(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at.After(s.readAt) {
		s.recordRead(at)
	}
	s.expireHoldings(time.Now())
}
