package router

import (
	"maps"
	"time"

	"burdocklink/estimator"
)

// Load is what an entry has in flight at an upstream.
type Load struct {
	Upstream    string
	Incarnation string
	estimator.Share
	// Models are the requests by model, nil where they are not told.
	Models map[string]int
}

// Loads returns all that this entry has in flight. Idle upstreams are left
// out. What it returns was not yet told as dispatched.
func (r *Router) Loads() []Load {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var loads []Load
	r.own.visitBusy(func(name string) bool {
		u := r.table.upstreams[name]
		if u == nil {
			return false
		}
		share := u.own()
		if share.Requests == 0 {
			return false
		}
		loads = append(loads, Load{
			Upstream: name, Incarnation: u.about.Incarnation, Share: share, Models: u.byModel(),
		})
		return true
	})
	return loads
}

// News returns the upstreams at which this entry's share changed since the
// news before, with the prompts dispatched meanwhile.
func (r *Router) News() []Load {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var loads []Load
	r.own.takeChanged(func(name string) {
		u := r.table.upstreams[name]
		if u == nil {
			return
		}
		if share, changed := u.news(); changed {
			loads = append(loads, Load{Upstream: name, Incarnation: u.about.Incarnation, Share: share})
		}
	})
	return loads
}

// TakeNews takes in what another entry has in flight. Where whole is true,
// upstreams that are not listed are idle for it.
func (r *Router) TakeNews(now time.Time, entry string, loads []Load, whole bool) {
	idle := r.peers.take(now, entry, loads, whole)
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	for _, load := range loads {
		if u := r.table.upstreams[load.Upstream]; u != nil && u.about.Incarnation == load.Incarnation {
			u.others(now, entry, load.Share)
		}
	}
	for _, name := range idle {
		if u := r.table.upstreams[name]; u != nil {
			u.others(now, entry, estimator.Share{})
		}
	}
}

// peerShare is what one other entry has in flight.
type peerShare struct {
	estimator.Share
	until time.Time
}

func (m *measured) own() estimator.Share {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.engine.Own()
}

// news returns the share where it changed since the call before.
func (m *measured) news() (estimator.Share, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.changed {
		return estimator.Share{}, false
	}
	share := m.engine.Own()
	share.PromptTokens = m.dispatched
	m.changed, m.dispatched = false, 0
	return share, true
}

// others takes in the share of another entry.
func (m *measured) others(now time.Time, entry string, share estimator.Share) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.engine.Dispatched(now, share.PromptTokens)
	if m.peers == nil {
		m.peers = map[string]peerShare{}
	}
	if share.Requests == 0 {
		delete(m.peers, entry)
	} else {
		m.peers[entry] = peerShare{Share: share, until: now.Add(peerTime)}
	}
	var sum estimator.Share
	for name, peer := range m.peers {
		if now.After(peer.until) {
			delete(m.peers, name)
			continue
		}
		sum.Requests += peer.Requests
		sum.Tokens += peer.Tokens
	}
	m.engine.Others(now, sum)
}

// byModel returns the own requests in flight by model.
func (m *measured) byModel() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.models)
}
