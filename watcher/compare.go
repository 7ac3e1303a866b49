package watcher

import (
	"maps"
	"slices"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

// removalThreshold is how many lists in a row an upstream must be missing from
// before it counts as gone.
const removalThreshold = 3

// absences counts, by upstream, the lists in a row that did not name it.
type absences map[string]int

// CompareUpstreams returns the changes that bring the catalog to the listed
// upstreams. A leaving upstream stays leaving for its incarnation, whatever a
// lagging list says. An upstream is removed once several lists in a row lack
// it.
func CompareUpstreams(catalog *cataloger.Catalog, listed []cataloger.Upstream, absent map[string]int) []cataloger.Change {
	var changes []cataloger.Change
	named := map[string]bool{}
	for _, upstream := range listed {
		named[upstream.Name] = true
		delete(absent, upstream.Name)
		known, ok := catalog.Upstreams[upstream.Name]
		if ok && known.Incarnation == upstream.Incarnation && known.State == cataloger.UpstreamLeaving {
			upstream.State = cataloger.UpstreamLeaving
		}
		if known != upstream {
			changes = append(changes, cataloger.PutUpstream{Upstream: upstream})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(catalog.Upstreams)) {
		if named[name] {
			continue
		}
		absent[name]++
		if absent[name] >= removalThreshold {
			changes = append(changes, cataloger.RemoveUpstream{Name: name})
		}
	}
	return changes
}

// CompareReports returns the changes for engines that say they are leaving
// before the list does.
func CompareReports(catalog *cataloger.Catalog, reports map[string]estimator.Report) []cataloger.Change {
	var changes []cataloger.Change
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		report := reports[name]
		upstream, known := catalog.Upstreams[name]
		if !known || upstream.Incarnation != report.Incarnation {
			continue
		}
		if report.Leaving && upstream.State != cataloger.UpstreamLeaving {
			upstream.State = cataloger.UpstreamLeaving
			changes = append(changes, cataloger.PutUpstream{Upstream: upstream})
		}
	}
	return changes
}

// CompareWeights returns the changes that add or replace what the weight store
// lists. Nothing is removed: a model that the list lacks may still be served.
func CompareWeights(catalog *cataloger.Catalog, listed []cataloger.Change) []cataloger.Change {
	var models, adapters []cataloger.Change
	for _, change := range listed {
		switch change := change.(type) {
		case cataloger.PutModel:
			if catalog.Models[change.Model.Name] != change.Model {
				models = append(models, change)
			}
		case cataloger.PutAdapter:
			if catalog.Adapters[change.Adapter.Name] != change.Adapter {
				adapters = append(adapters, change)
			}
		}
	}
	// Models go first, since adapters name them.
	return slices.Concat(models, adapters)
}
