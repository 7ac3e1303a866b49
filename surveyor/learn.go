package surveyor

import (
	"maps"
	"time"
)

// Learn takes in what another process has read of the platform's list.
func (s *Surveyor) Learn(changes Changes) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listed := map[string]Upstream{}
	if !changes.Whole {
		listed = maps.Clone(s.listed)
	}
	for _, upstream := range changes.Upstreams {
		listed[upstream.Name] = s.merge(upstream)
	}
	s.logNews(listed)
	s.listed = listed
	s.update()
}

// merge keeps what an own reading says beside the other process's: what is held,
// and that an incarnation leaves, which is final. The mutex is held.
func (s *Surveyor) merge(upstream Upstream) Upstream {
	known, listed := s.listed[upstream.Name]
	if !listed || known.Incarnation != upstream.Incarnation {
		return upstream
	}
	upstream.Holds = known.Holds
	if known.State == Leaving {
		upstream.State = Leaving
	}
	return upstream
}

// Confirm notes that the other process's list was read at a time, and that all
// of it has been learned. The own reading is put off.
func (s *Surveyor) Confirm(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at.After(s.readAt) {
		s.readAt = at
	}
}
