package surveyor

import (
	"time"

	"burdocklink/cataloger"
)

// Learn takes in what another process has read of the platform's list.
func (s *Surveyor) Learn(changes Changes) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.learnedAt = time.Now()
	if changes.Whole {
		s.learnWhole(changes.Upstreams)
		return
	}
	var news []cataloger.Change
	for _, upstream := range changes.Upstreams {
		news = s.put(news, s.merge(upstream))
	}
	s.publish(news)
}

// learnWhole takes in a whole list. The mutex is held.
func (s *Surveyor) learnWhole(upstreams []Upstream) {
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
	return s.stayLeaving(upstream)
}

// stayLeaving keeps an incarnation leaving that was known to leave, whichever
// reading is newer. The mutex is held.
func (s *Surveyor) stayLeaving(upstream Upstream) Upstream {
	known := s.listed[upstream.Name]
	if known.State == Leaving && known.Incarnation == upstream.Incarnation {
		upstream.State = Leaving
	}
	return upstream
}

// takeLeaving takes in only which known incarnations leave. The mutex is held.
func (s *Surveyor) takeLeaving(listed map[string]Upstream) {
	var news []cataloger.Change
	for name, upstream := range listed {
		known := s.listed[name]
		if upstream.State != Leaving || known.State == Leaving || known.Incarnation != upstream.Incarnation {
			continue
		}
		known.State = Leaving
		news = s.put(news, known)
	}
	s.publish(news)
}

// put lists one upstream and adds to news what became different. The mutex is
// held.
func (s *Surveyor) put(news []cataloger.Change, upstream Upstream) []cataloger.Change {
	s.logListed(upstream)
	s.listed[upstream.Name], s.digested = upstream, false
	return s.renew(news, upstream.Name)
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
