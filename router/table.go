package router

import (
	"cmp"
	"slices"

	"burdocklink/cataloger"
)

// table is the index that requests are routed by.
type table struct {
	// entries is how many entries share the upstreams.
	entries   int
	upstreams map[string]*upstream
	// placements maps upstreams to what they hold.
	placements map[string]cataloger.Placement
	// holders maps models and adapters, and services maps services, to their live
	// upstreams in ascending order of name.
	holders  map[string][]*upstream
	services map[string][]*upstream
}

func emptyTable(entries int) *table {
	return &table{
		entries:    entries,
		upstreams:  map[string]*upstream{},
		placements: map[string]cataloger.Placement{},
		holders:    map[string][]*upstream{},
		services:   map[string][]*upstream{},
	}
}

// newTable indexes the live upstreams of a catalog and keeps the state of incarnations
// in the previous table.
func newTable(previous *table, catalog *cataloger.Catalog) *table {
	t := emptyTable(previous.entries)
	for name, info := range catalog.Upstreams {
		t.upstreams[name] = previous.reuse(info)
	}
	for name, placement := range catalog.Placements {
		t.placements[name] = placement
	}
	for name, holders := range catalog.Holders {
		t.holders[name] = t.liveUpstreams(catalog, holders)
	}
	for name, members := range catalog.Services {
		t.services[name] = t.liveUpstreams(catalog, members)
	}
	return t
}

func (t *table) reuse(info cataloger.Upstream) *upstream {
	known, ok := t.upstreams[info.Name]
	if ok && known.info == info {
		return known
	}
	if !ok || known.info.Incarnation != info.Incarnation || known.info.Address != info.Address {
		return newUpstream(info, t.entries)
	}
	known.resize(info)
	return &upstream{info: info, measurements: known.measurements}
}

func (t *table) liveUpstreams(catalog *cataloger.Catalog, names []string) []*upstream {
	live := make([]*upstream, 0, len(names))
	for _, name := range names {
		info, ok := catalog.Upstreams[name]
		if ok && info.State == cataloger.UpstreamLive {
			live = append(live, t.upstreams[name])
		}
	}
	return live
}

// find returns an incarnation, or nil if the table has another one or none.
func (t *table) find(name, incarnation string) *upstream {
	u := t.upstreams[name]
	if u == nil || u.info.Incarnation != incarnation {
		return nil
	}
	return u
}

func (t *table) apply(change cataloger.Change) {
	switch change := change.(type) {
	case cataloger.PutUpstream:
		t.put(change.Upstream)
	case cataloger.RemoveUpstream:
		t.remove(change.Name)
	case cataloger.PutPlacement:
		t.putPlacement(change.Placement)
	}
}

func (t *table) put(info cataloger.Upstream) {
	t.unindex(t.upstreams[info.Name])
	u := t.reuse(info)
	t.upstreams[info.Name] = u
	if u.live() {
		include(t.services, info.Service, u)
		t.include(u, t.placements[info.Name])
	}
}

func (t *table) remove(name string) {
	t.unindex(t.upstreams[name])
	delete(t.upstreams, name)
	delete(t.placements, name)
}

// unindex removes an upstream from all lists.
func (t *table) unindex(u *upstream) {
	if u != nil && u.live() {
		exclude(t.services, u.info.Service, u)
		t.exclude(u, t.placements[u.info.Name])
	}
}

// putPlacement does not touch the lists of services: one may name all upstreams.
func (t *table) putPlacement(placement cataloger.Placement) {
	previous := t.placements[placement.Upstream]
	t.placements[placement.Upstream] = placement
	if u := t.upstreams[placement.Upstream]; u != nil && u.live() {
		t.exclude(u, previous)
		t.include(u, placement)
	}
}

// include adds an upstream to the holders of all that it holds.
func (t *table) include(u *upstream, placement cataloger.Placement) {
	for _, name := range placement.Models {
		include(t.holders, name, u)
	}
	for _, name := range placement.Adapters {
		include(t.holders, name, u)
	}
}

// exclude undoes include.
func (t *table) exclude(u *upstream, placement cataloger.Placement) {
	for _, name := range placement.Models {
		exclude(t.holders, name, u)
	}
	for _, name := range placement.Adapters {
		exclude(t.holders, name, u)
	}
}

func (u *upstream) live() bool { return u.info.State == cataloger.UpstreamLive }

// Software returns the software versions of the upstreams of a service that are listed,
// also of those that are leaving.
func (r *Router) Software(service string) []string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var software []string
	for _, u := range r.table.upstreams {
		if u.info.Service == service && !slices.Contains(software, u.info.Software) {
			software = append(software, u.info.Software)
		}
	}
	return software
}

// runs reports whether a live upstream of a service may continue a stream.
func (t *table) runs(service string, origin Origin) bool {
	return origin.IsZero() || slices.ContainsFunc(t.services[service], func(u *upstream) bool { return origin.admits(&u.info) })
}

func include(lists map[string][]*upstream, name string, u *upstream) {
	if at, found := position(lists[name], u); !found {
		lists[name] = slices.Insert(lists[name], at, u)
	}
}

func exclude(lists map[string][]*upstream, name string, u *upstream) {
	at, found := position(lists[name], u)
	if !found {
		return
	}
	lists[name] = slices.Delete(lists[name], at, at+1)
	if len(lists[name]) == 0 {
		delete(lists, name)
	}
}

// position returns the index of an upstream in a list, or where to insert it.
func position(list []*upstream, u *upstream) (int, bool) {
	return slices.BinarySearchFunc(list, u, func(a, b *upstream) int {
		return cmp.Compare(a.info.Name, b.info.Name)
	})
}
