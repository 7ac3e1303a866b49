package watcher

import (
	"maps"
	"slices"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

// removalThreshold is the number of consecutive lists without an upstream after which it
// is removed.
const removalThreshold = 3

// absences counts, by upstream, the consecutive lists without it.
type absences map[string]int

// CompareUpstreams returns the changes from the catalog to the listed upstreams. A
// leaving upstream stays leaving for its incarnation, even if a stale list says
// otherwise. An upstream is removed after several consecutive lists without it; absent
// counts them and is updated.
func CompareUpstreams(catalog *cataloger.Catalog, listed []cataloger.Upstream, absent map[string]int) []cataloger.Change {
	var changes []cataloger.Change
	listedNames := map[string]bool{}
	for _, upstream := range listed {
		listedNames[upstream.Name] = true
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
		if listedNames[name] {
			continue
		}
		absent[name]++
		if absent[name] >= removalThreshold {
			changes = append(changes, cataloger.RemoveUpstream{Name: name})
		}
	}
	return changes
}

// CompareReports returns the changes for engines that report that they are leaving before
// the list does.
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

// CompareWeights returns the changes that add or replace the models and adapters listed by
// the weight store. Nothing is removed: a model that is no longer listed may still be
// served.
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
	// Models go first, because adapters refer to them.
	return slices.Concat(models, adapters)
}
