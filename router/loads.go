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
	estimator.EntryLoad
	// Models counts the requests by base model; nil if they are not shared.
	Models map[string]int
}

// Loads returns the load of this entry on all upstreams except idle ones. It does not
// include prompt tokens dispatched since the last LoadChanges.
func (r *Router) Loads() []Load {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var loads []Load
	r.dispatches.visitBusy(func(name string) bool {
		u := r.table.upstreams[name]
		if u == nil {
			return false
		}
		load := u.ownLoad()
		if load.Requests == 0 {
			return false
		}
		loads = append(loads, Load{
			Upstream: name, Incarnation: u.info.Incarnation, EntryLoad: load, Models: u.requestsByModel(),
		})
		return true
	})
	return loads
}

// LoadChanges returns the upstreams at which this entry's load has changed since the
// last call, with the prompt tokens dispatched since then.
func (r *Router) LoadChanges() []Load {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var loads []Load
	r.dispatches.drainChanged(func(name string) {
		u := r.table.upstreams[name]
		if u == nil {
			return
		}
		if load, changed := u.takeChange(); changed {
			loads = append(loads, Load{Upstream: name, Incarnation: u.info.Incarnation, EntryLoad: load})
		}
	})
	return loads
}

// MergeLoads merges the load of another entry. If complete is set, the other entry has
// nothing in flight at upstreams that are not listed.
func (r *Router) MergeLoads(now time.Time, entry string, loads []Load, complete bool) {
	idle := r.peers.merge(now, entry, loads, complete)
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	for _, load := range loads {
		if u := r.table.upstreams[load.Upstream]; u != nil && u.info.Incarnation == load.Incarnation {
			u.mergePeer(now, entry, load.EntryLoad)
		}
	}
	for _, name := range idle {
		if u := r.table.upstreams[name]; u != nil {
			u.mergePeer(now, entry, estimator.EntryLoad{})
		}
	}
}

// peerLoad is the load of one other entry.
type peerLoad struct {
	estimator.EntryLoad
	expiresAt time.Time
}

func (m *measurements) ownLoad() estimator.EntryLoad {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.engine.OwnLoad()
}

// takeChange returns this entry's load if it has changed since the last call.
func (m *measurements) takeChange() (estimator.EntryLoad, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.ownLoadChanged {
		return estimator.EntryLoad{}, false
	}
	load := m.engine.OwnLoad()
	load.PromptTokens = m.dispatchedTokens
	m.ownLoadChanged, m.dispatchedTokens = false, 0
	return load, true
}

// mergePeer merges the load of another entry.
func (m *measurements) mergePeer(now time.Time, entry string, load estimator.EntryLoad) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.engine.AddPeerPrompts(now, load.PromptTokens)
	if m.peerLoads == nil {
		m.peerLoads = map[string]peerLoad{}
	}
	if load.Requests == 0 {
		delete(m.peerLoads, entry)
	} else {
		m.peerLoads[entry] = peerLoad{EntryLoad: load, expiresAt: now.Add(peerLoadTTL)}
	}
	var sum estimator.EntryLoad
	for name, peer := range m.peerLoads {
		if now.After(peer.expiresAt) {
			delete(m.peerLoads, name)
			continue
		}
		sum.Requests += peer.Requests
		sum.KVCacheTokens += peer.KVCacheTokens
	}
	m.engine.SetPeers(now, sum)
}

// requestsByModel returns the own requests in flight by base model.
func (m *measurements) requestsByModel() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.inFlightByModel)
}
