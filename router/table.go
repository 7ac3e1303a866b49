package router

import (
	"burdocklink/cataloger"
)

// table is the immutable index that traffic reads.
type table struct {
	upstreams map[string]*upstream
	// holders lists by model or adapter, services by service.
	holders  map[string][]*upstream
	services map[string][]*upstream
}

// newTable indexes the live upstreams of a catalog and keeps the state of the
// incarnations that the table before it knew.
func newTable(before *table, catalog *cataloger.Catalog, entries int) *table {
	t := &table{
		upstreams: make(map[string]*upstream, len(catalog.Upstreams)),
		holders:   make(map[string][]*upstream, len(catalog.Holders)),
		services:  make(map[string][]*upstream, len(catalog.Services)),
	}
	for name, about := range catalog.Upstreams {
		t.upstreams[name] = before.keep(about, entries)
	}
	for name, holders := range catalog.Holders {
		t.holders[name] = t.live(catalog, holders)
	}
	for name, members := range catalog.Services {
		t.services[name] = t.live(catalog, members)
	}
	return t
}

func (t *table) keep(about cataloger.Upstream, entries int) *upstream {
	known, ok := t.upstreams[about.Name]
	if ok && known.about == about {
		return known
	}
	if !ok || known.about.Incarnation != about.Incarnation || known.about.Address != about.Address {
		return newUpstream(about, entries)
	}
	known.resize(about)
	return &upstream{about: about, measured: known.measured}
}

func (t *table) live(catalog *cataloger.Catalog, names []string) []*upstream {
	live := make([]*upstream, 0, len(names))
	for _, name := range names {
		about, ok := catalog.Upstreams[name]
		if ok && about.State == cataloger.UpstreamLive {
			live = append(live, t.upstreams[name])
		}
	}
	return live
}
