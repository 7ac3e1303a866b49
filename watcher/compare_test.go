package watcher_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/watcher"
)

func catalogWith(t *testing.T, changes ...cataloger.Change) *cataloger.Catalog {
	t.Helper()
	catalog, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: changes})
	assert.NilError(t, err)
	return catalog
}

func TestStaleListDoesNotReviveLeavingUpstream(t *testing.T) {
	leaving := cataloger.Upstream{Name: "u", Incarnation: "1", State: cataloger.UpstreamLeaving}
	catalog := catalogWith(t, cataloger.PutUpstream{Upstream: leaving})
	listed := cataloger.Upstream{Name: "u", Incarnation: "1", State: cataloger.UpstreamLive}

	changes := watcher.CompareUpstreams(catalog, []cataloger.Upstream{listed}, map[string]int{})

	assert.Equal(t, len(changes), 0)
}

func TestNewIncarnationIsLive(t *testing.T) {
	leaving := cataloger.Upstream{Name: "u", Incarnation: "1", State: cataloger.UpstreamLeaving}
	catalog := catalogWith(t, cataloger.PutUpstream{Upstream: leaving})
	listed := cataloger.Upstream{Name: "u", Incarnation: "2", State: cataloger.UpstreamLive}

	changes := watcher.CompareUpstreams(catalog, []cataloger.Upstream{listed}, map[string]int{})

	assert.DeepEqual(t, changes, []cataloger.Change{cataloger.PutUpstream{Upstream: listed}})
}

func TestUpstreamIsRemovedAfterSeveralListsWithoutIt(t *testing.T) {
	catalog := catalogWith(t, cataloger.PutUpstream{Upstream: cataloger.Upstream{Name: "u"}})
	absent := map[string]int{}

	assert.Equal(t, len(watcher.CompareUpstreams(catalog, nil, absent)), 0)
	assert.Equal(t, len(watcher.CompareUpstreams(catalog, nil, absent)), 0)
	changes := watcher.CompareUpstreams(catalog, nil, absent)

	assert.DeepEqual(t, changes, []cataloger.Change{cataloger.RemoveUpstream{Name: "u"}})
}

func TestModelsComeBeforeTheirAdapters(t *testing.T) {
	model := cataloger.PutModel{Model: cataloger.Model{Name: "m"}}
	adapter := cataloger.PutAdapter{Adapter: cataloger.Adapter{Name: "a", Model: "m"}}

	changes := watcher.CompareWeights(cataloger.New(), []cataloger.Change{adapter, model})

	assert.DeepEqual(t, changes, []cataloger.Change{model, adapter})
}
