package router

import (
	"time"

	"burdocklink/estimator"
)

// Load is what an entry, or several together, have in flight at an upstream.
type Load struct {
	Upstream    string
	Incarnation string
	estimator.Share
}

// Loads returns what this entry has in flight, for the other entries. Idle
// upstreams are left out.
func (r *Router) Loads(now time.Time) []Load {
	var loads []Load
	for name, u := range r.current.Load().upstreams {
		share := u.own(now)
		if share.Requests == 0 {
			continue
		}
		loads = append(loads, Load{Upstream: name, Incarnation: u.about.Incarnation, Share: share})
	}
	return loads
}

// Others takes in what all other entries have in flight. What is not in the
// list is idle.
func (r *Router) Others(now time.Time, loads []Load) {
	told := make(map[string]Load, len(loads))
	for _, load := range loads {
		told[load.Upstream] = load
	}
	for name, u := range r.current.Load().upstreams {
		load := told[name]
		if load.Incarnation != u.about.Incarnation {
			load.Share = estimator.Share{}
		}
		u.others(now, load.Share)
	}
}

func (m *measured) own(now time.Time) estimator.Share {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.engine.Own(now)
}

func (m *measured) others(now time.Time, share estimator.Share) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.engine.Others(now, share)
}
