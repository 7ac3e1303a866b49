package experimenter

import (
	"slices"
	"time"

	"burdocklink/admitter"
	"burdocklink/cataloger"
	"burdocklink/router"
)

// entry is one entry of the fleet.
type entry struct {
	router *router.Router
	queue  *admitter.Queue
	calls  map[*admitter.Ticket]*call
	// pumpAt is when the entry looks at its queue next, zero for never.
	pumpAt   time.Time
	baseline *baseline
}

// baseline is the state of the baselines without admission.
type baseline struct {
	policy      Policy
	next        map[string]int
	outstanding map[string]int
}

// choose returns the next upstream, empty where there is none.
func (n *baseline) choose(catalog *cataloger.Catalog, route *router.Request) string {
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
	n.next[key]++
	first := n.next[key] % len(names)
	if n.policy == RoundRobin {
		return names[first]
	}
	best := names[first]
	for i := range names {
		name := names[(first+i)%len(names)]
		if n.outstanding[name] < n.outstanding[best] {
			best = name
		}
	}
	return best
}
