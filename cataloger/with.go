package cataloger

import (
	"maps"
	"slices"

	"burdocklink/classifier"
)

// New returns an empty catalog at revision zero.
func New() *Catalog {
	return &Catalog{
		Classes:    map[string]classifier.Class{},
		Models:     map[string]Model{},
		Adapters:   map[string]Adapter{},
		Upstreams:  map[string]Upstream{},
		Placements: map[string]Placement{},
		Releases:   map[ReleaseKey]Release{},
		Holders:    map[string][]string{},
		Services:   map[string][]string{},
	}
}

// With returns the catalog with the delta applied. The error is a
// *RevisionGapError if the delta starts at another revision.
func (c *Catalog) With(delta Delta) (*Catalog, error) {
	if delta.From != c.Revision {
		return nil, &RevisionGapError{Have: c.Revision, From: delta.From}
	}
	next := c.clone(affectedBy(delta.Changes))
	next.Revision = delta.To
	for _, change := range delta.Changes {
		next.apply(change)
	}
	return next, nil
}

// Changes returns the changes that build the catalog from an empty one, in a
// deterministic order.
func (c *Catalog) Changes() []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
		changes = append(changes, PutClass{Class: c.Classes[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(c.Models)) {
		changes = append(changes, PutModel{Model: c.Models[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(c.Adapters)) {
		changes = append(changes, PutAdapter{Adapter: c.Adapters[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		changes = append(changes, PutUpstream{Upstream: c.Upstreams[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(c.Placements)) {
		changes = append(changes, PutPlacement{Placement: c.Placements[name]})
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.Releases), ReleaseKey.Compare) {
		changes = append(changes, PutRelease{Release: c.Releases[key]})
	}
	if c.Configuration.Version > 0 {
		changes = append(changes, PutConfiguration{Configuration: c.Configuration})
	}
	return changes
}

// affectedMaps tells which maps a delta modifies.
type affectedMaps struct{ classes, models, adapters, upstreams, placements, releases bool }

func affectedBy(changes []Change) affectedMaps {
	var t affectedMaps
	for _, change := range changes {
		switch change.(type) {
		case PutClass, RemoveClass:
			t.classes = true
		case PutModel, RemoveModel:
			t.models = true
		case PutAdapter, RemoveAdapter:
			t.adapters = true
		case PutUpstream:
			t.upstreams = true
		case RemoveUpstream:
			t.upstreams = true
			t.placements = true
		case PutPlacement:
			t.placements = true
		case PutRelease, RemoveRelease:
			t.releases = true
		}
	}
	return t
}

// clone returns a copy of the catalog that shares the unaffected maps.
func (c *Catalog) clone(t affectedMaps) *Catalog {
	next := *c
	if t.classes {
		next.Classes = maps.Clone(c.Classes)
	}
	if t.models {
		next.Models = maps.Clone(c.Models)
	}
	if t.adapters {
		next.Adapters = maps.Clone(c.Adapters)
	}
	if t.upstreams {
		next.Upstreams = maps.Clone(c.Upstreams)
		next.Services = maps.Clone(c.Services)
	}
	if t.placements {
		next.Placements = maps.Clone(c.Placements)
		next.Holders = maps.Clone(c.Holders)
	}
	if t.releases {
		next.Releases = maps.Clone(c.Releases)
	}
	return &next
}

func (c *Catalog) apply(change Change) {
	switch change := change.(type) {
	case PutClass:
		c.Classes[change.Class.Name] = change.Class
	case RemoveClass:
		delete(c.Classes, change.Name)
	case PutModel:
		c.Models[change.Model.Name] = change.Model
	case RemoveModel:
		delete(c.Models, change.Name)
	case PutAdapter:
		c.Adapters[change.Adapter.Name] = change.Adapter
	case RemoveAdapter:
		delete(c.Adapters, change.Name)
	case PutUpstream:
		c.putUpstream(change.Upstream)
	case RemoveUpstream:
		c.removeUpstream(change.Name)
	case PutPlacement:
		c.putPlacement(change.Placement)
	case PutRelease:
		c.Releases[change.Release.ReleaseKey] = change.Release
	case RemoveRelease:
		delete(c.Releases, change.ReleaseKey)
	case PutConfiguration:
		c.Configuration = change.Configuration
	}
}

func (c *Catalog) putUpstream(upstream Upstream) {
	if current, ok := c.Upstreams[upstream.Name]; ok {
		c.Services[current.Service] = removeSorted(c.Services[current.Service], upstream.Name)
	}
	c.Upstreams[upstream.Name] = upstream
	c.Services[upstream.Service] = insertSorted(c.Services[upstream.Service], upstream.Name)
}

func (c *Catalog) removeUpstream(name string) {
	if current, ok := c.Upstreams[name]; ok {
		c.Services[current.Service] = removeSorted(c.Services[current.Service], name)
	}
	c.removePlacement(name)
	delete(c.Upstreams, name)
}

func (c *Catalog) putPlacement(placement Placement) {
	c.removePlacement(placement.Upstream)
	c.Placements[placement.Upstream] = placement
	for _, name := range placement.weights() {
		c.Holders[name] = insertSorted(c.Holders[name], placement.Upstream)
	}
}

func (c *Catalog) removePlacement(upstream string) {
	for _, name := range c.Placements[upstream].weights() {
		c.Holders[name] = removeSorted(c.Holders[name], upstream)
	}
	delete(c.Placements, upstream)
}

func (p Placement) weights() []string {
	return slices.Concat(p.Models, p.Adapters)
}

// insertSorted returns a new slice, since the old one may be shared with an
// earlier catalog.
func insertSorted(names []string, name string) []string {
	index, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(slices.Clone(names), index, name)
}

func removeSorted(names []string, name string) []string {
	index, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(slices.Clone(names), index, index+1)
}
