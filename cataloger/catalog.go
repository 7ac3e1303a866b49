// Package cataloger holds the immutable picture of classes, models, adapters,
// upstreams and placements that traffic reads. A Catalog is never changed
// after it was made: With returns a new one.
package cataloger

import "burdocklink/classifier"

// UpstreamKind tells model engines from plain services.
type UpstreamKind int

const (
	// EngineUpstream serves models and adapters.
	EngineUpstream UpstreamKind = iota + 1
	// PlainUpstream is an ordinary HTTP service.
	PlainUpstream
)

// UpstreamState is what the platform and the upstream itself say of it.
type UpstreamState int

const (
	// UpstreamLive takes new work.
	UpstreamLive UpstreamState = iota + 1
	// UpstreamLeaving finishes its work and takes no more. It is final for an
	// incarnation.
	UpstreamLeaving
)

// Role is the part of a request an engine works on.
type Role int

const (
	// RoleMixed does prefill and decode.
	RoleMixed Role = iota
	// RolePrefill does prefill only and hands the KV cache on.
	RolePrefill
	// RoleDecode continues from an imported KV cache.
	RoleDecode
)

// Model is a base model from the weight store.
type Model struct {
	Name string
	// Service is the upstream group that may hold the model.
	Service string
	// MemoryBytes is the accelerator memory one copy needs.
	MemoryBytes int64
	// Version names the weights; a new version is loaded beside the old one.
	Version string
}

// Adapter is a small addition to a base model.
type Adapter struct {
	Name string
	// Model is the base model the adapter needs on the same engine.
	Model       string
	MemoryBytes int64
	Version     string
}

// Upstream is one server that requests are sent to.
type Upstream struct {
	Name string
	// Incarnation changes each time the process on the VM starts anew.
	Incarnation string
	// Address is the IP and port of the upstream, as the platform lists it.
	Address          string
	AvailabilityZone string
	// Service is the group the upstream belongs to.
	Service string
	Kind    UpstreamKind
	State   UpstreamState
	// MemoryBytes is the accelerator memory of the whole upstream.
	MemoryBytes  int64
	Accelerators int
	// Slots is how many requests the engine batches at once.
	Slots int
	// CacheTokens is the engine's memory for prompts and answers, in tokens;
	// zero where it is not known.
	CacheTokens int
	// ChecksFence is true where the upstream refuses an order with an old
	// fencing number.
	ChecksFence bool
}

// Placement is what one upstream incarnation is confirmed to hold.
type Placement struct {
	Upstream    string
	Incarnation string
	// Models and Adapters are names in ascending order.
	Models   []string
	Adapters []string
	Role     Role
}

// Configuration is a whole routing configuration as an operator gave it. The
// highest version wins.
type Configuration struct {
	// Version is zero where there is none yet.
	Version uint64
	// Content is compressed, in the format of the API that accepted it. It must
	// not be changed.
	Content []byte
}

// Catalog is the picture at one revision. Its maps must not be changed.
type Catalog struct {
	// Revision counts up with each accepted change.
	Revision   uint64
	Classes    map[string]classifier.Class
	Models     map[string]Model
	Adapters   map[string]Adapter
	Upstreams  map[string]Upstream
	Placements map[string]Placement
	// Holders lists, by model or adapter name, the upstreams that hold it, in
	// ascending order. It is derived from Placements.
	Holders map[string][]string
	// Services lists upstream names by service in ascending order. It is
	// derived from Upstreams.
	Services map[string][]string
	// Configuration is replaced as a whole.
	Configuration Configuration
}
