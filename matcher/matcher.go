// Package matcher finds the route of a request in a routing configuration. A
// configuration is validated as a whole before it takes effect.
package matcher

import "time"

// Kind determines whether a request may run more than once.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events. One may run more than once
	// only if its route is resumable.
	Streaming
)

// WeightedService is a service and its weight in the split of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes how requests for one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which the whole answer, or the first event of a stream,
	// is fully useful.
	Target time.Duration
	// EventGapTarget is the longest pause between two events of a stream.
	EventGapTarget time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank  int
	Split []WeightedService
	// MaxAttempts is the largest number of upstreams tried for one request.
	MaxAttempts int
	Sticky      bool
	Resumable   bool
	// Anonymous routes serve requests without a key.
	Anonymous bool
}

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model is a model that the engines of a service can hold.
type Model struct {
	Name        string
	MemoryBytes int64
	// LoadTime is the time to load from the weight store, DiskTime from the engine's
	// own disk and WarmTime from its main memory.
	LoadTime time.Duration
	DiskTime time.Duration
	WarmTime time.Duration
	// Adapters is how many adapters the model has.
	Adapters           int
	AdapterMemoryBytes int64
}

// Engine describes the capacity of a service's engines.
type Engine struct {
	// Slots is how many requests an engine batches at once.
	Slots int
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int
	// CacheTokens is the size of the KV cache, in tokens.
	CacheTokens int
	// MemoryBytes is the memory for weights and adapters together.
	MemoryBytes  int64
	AdapterSlots int
	// LoadsPerSecond is what the weight store allows for all engines together.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Service is a group of upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound the size and duration of callers' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Configuration is a whole routing configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations own the keys of callers. If there are none, requests need no key.
	Organisations []Organisation
}

// InvalidError reports why a configuration cannot take effect.
type InvalidError struct {
	// Route and Organisation are empty if the fault is not in one.
	Route        string
	Organisation string
	Reason       string
}

// Error describes the fault.
func (e *InvalidError) Error() string {
	switch {
	case e.Route != "":
		return "configuration: route " + e.Route + ": " + e.Reason
	case e.Organisation != "":
		return "configuration: organisation " + e.Organisation + ": " + e.Reason
	default:
		return "configuration: " + e.Reason
	}
}

// routeKey identifies a route.
type routeKey struct{ host, prefix string }

// Check returns the first fault of a configuration as an *InvalidError.
func (c *Configuration) Check() error {
	if faults := c.Faults(); len(faults) > 0 {
		return faults[0]
	}
	return nil
}

// Faults returns all faults of a configuration.
func (c *Configuration) Faults() []*InvalidError {
	var faults []*InvalidError
	if c.Version == 0 {
		faults = append(faults, &InvalidError{Reason: "no version"})
	}
	seen := make(map[routeKey]bool, len(c.Routes))
	for i := range c.Routes {
		route := &c.Routes[i]
		if reason := c.invalidReason(route); reason != "" {
			faults = append(faults, &InvalidError{Route: route.Name, Reason: reason})
		}
		key := routeKey{host: route.Host, prefix: route.Prefix}
		if seen[key] {
			faults = append(faults, &InvalidError{Route: route.Name, Reason: "another route has the same host and prefix"})
		}
		seen[key] = true
	}
	return append(faults, c.organisationFaults()...)
}

func (c *Configuration) invalidReason(route *Route) string {
	total := 0.0
	for _, share := range route.Split {
		if _, known := c.Services[share.Service]; !known {
			return "unknown service " + share.Service
		}
		if share.Weight < 0 {
			return "negative weight"
		}
		total += share.Weight
	}
	switch {
	case total <= 0:
		return "weights add up to nothing"
	case route.Timeout <= 0:
		return "no timeout"
	default:
		return ""
	}
}
