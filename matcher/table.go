package matcher

import (
	"net"
	"strings"

	"burdocklink/verifier"
)

// Table finds routes. It is immutable.
type Table struct {
	Configuration *Configuration
	routes        map[routeKey]*Route
	owners        *verifier.Index[*Organisation]
}

// NewTable indexes a validated configuration, which must not be changed afterwards.
func NewTable(configuration *Configuration) *Table {
	t := &Table{
		Configuration: configuration,
		routes:        make(map[routeKey]*Route, len(configuration.Routes)),
		owners:        verifier.New[*Organisation](),
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		t.routes[routeKey{host: strings.ToLower(route.Host), prefix: route.Prefix}] = route
	}
	for i := range configuration.Organisations {
		organisation := &configuration.Organisations[i]
		for _, key := range organisation.Keys {
			t.owners.Add(key, organisation)
		}
	}
	return t
}

// Owner returns the organisation that a key belongs to, or nil.
func (t *Table) Owner(key string) *Organisation {
	owner, _ := t.owners.Find(key)
	return owner
}

// Match returns the route with the longest prefix of a path, or nil. A port in
// the host is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := t.routes[routeKey{host: host, prefix: path[:slash+1]}]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

// Pick returns the service for one request of a route. Random is in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	point := random * total
	for _, share := range r.Split {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
