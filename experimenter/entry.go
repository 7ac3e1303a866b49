package experimenter

import (
	"slices"
	"time"

	"burdocklink/admitter"
	"burdocklink/cataloger"
	"burdocklink/router"
)

// entry is the state of an entry of the fleet.
type entry struct {
	router *router.Router
	queue  *admitter.Queue
	calls  map[*admitter.Ticket]*call
	// pumpAt is the time of the next pump of the queue, zero for none.
	pumpAt   time.Time
	baseline *baseline
}

// baseline is the state of an entry under a policy without admission.
type baseline struct {
	policy      Policy
	next        map[string]int
	outstanding map[string]int
}

// choose returns the upstream for a request, empty if there is none.
func (b *baseline) choose(catalog *cataloger.Catalog, route *router.Request) string {
	names := catalog.Services[route.Service]
	key := route.Service
	if route.Model != "" {
		names, key = catalog.Holders[route.Model], route.Model
	}
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return slices.Contains(route.Avoid, name)
	})
	if len(names) == 0 {
		return ""
	}
	b.next[key]++
	first := b.next[key] % len(names)
	if b.policy == RoundRobin {
		return names[first]
	}
	best := names[first]
	for i := range names {
		name := names[(first+i)%len(names)]
		if b.outstanding[name] < b.outstanding[best] {
			best = name
		}
	}
	return best
}
