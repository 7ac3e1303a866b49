package responder

import (
	"maps"
	"time"

	"burdocklink/placer"
)

// demandCounts are counts by model or adapter, then by class.
type demandCounts map[string]map[string]placer.Count

// swap sets a count and returns the previous one.
func (c demandCounts) swap(count placer.ClassCount) placer.Count {
	classes := c[count.Name]
	if classes == nil {
		classes = map[string]placer.Count{}
		c[count.Name] = classes
	}
	previous := classes[count.Class]
	classes[count.Class] = count.Count
	return previous
}

// add adds to a count.
func (c demandCounts) add(name, class string, count placer.Count) {
	c.swap(placer.ClassCount{Name: name, Class: class, Count: c[name][class].Add(count)})
}

// Demands returns the cumulative demand last reported by each entry, by entry name.
func (r *Responder) Demands() map[string]placer.Demand {
	r.entries.mu.Lock()
	defer r.entries.mu.Unlock()
	demands := make(map[string]placer.Demand, len(r.entries.entries))
	for name, record := range r.entries.entries {
		copied := make(map[string]map[string]placer.Count, len(record.counts))
		for modelOrAdapter, classes := range record.counts {
			copied[modelOrAdapter] = maps.Clone(classes)
		}
		demands[name] = placer.Demand{Since: time.UnixMilli(record.since), Counts: copied}
	}
	return demands
}

// TakeDemand returns the demand of all entries since the previous call, by model or
// adapter and by class. Its cost depends on the new demand only, not on past demand.
func (r *Responder) TakeDemand() map[string]map[string]placer.Count {
	r.entries.mu.Lock()
	defer r.entries.mu.Unlock()
	newDemand := r.entries.newDemand
	r.entries.newDemand = demandCounts{}
	return newDemand
}
