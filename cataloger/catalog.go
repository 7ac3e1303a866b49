// Package cataloger provides the immutable catalog of classes, models, adapters,
// upstreams and placements that routing reads. A Catalog is never modified: With
// returns a new one.
package cataloger

import (
	"cmp"
	"strings"
	"time"

	"burdocklink/classifier"
)

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind int

const (
	// EngineUpstream serves models and adapters.
	EngineUpstream UpstreamKind = iota + 1
	// PlainUpstream is an ordinary HTTP service.
	PlainUpstream
)

// UpstreamState is the lifecycle state of an upstream, as reported by the
// platform or the upstream itself.
type UpstreamState int

const (
	// UpstreamLive accepts new requests.
	UpstreamLive UpstreamState = iota + 1
	// UpstreamLeaving finishes its requests and accepts no new ones. The state is
	// final for an incarnation.
	UpstreamLeaving
)

// Role is the phase of a request that an engine executes.
type Role int

const (
	// RoleMixed does prefill and decode.
	RoleMixed Role = iota
	// RolePrefill does prefill only and hands over the KV cache.
	RolePrefill
	// RoleDecode continues from an imported KV cache.
	RoleDecode
)

// Model is a base model from the weight store.
type Model struct {
	Name string
	// Service is the service whose upstreams may hold the model.
	Service string
	// MemoryBytes is the accelerator memory that one copy needs.
	MemoryBytes int64
	// Version identifies the weights; a new version is loaded beside the old
	// one.
	Version string
}

// Adapter is a set of fine-tuned weights on top of a base model.
type Adapter struct {
	Name string
	// Model is the base model, which must be held by the same engine.
	Model       string
	MemoryBytes int64
	Version     string
}

// Upstream is a server that requests are sent to.
type Upstream struct {
	Name string
	// Incarnation changes with each restart of the process on the VM.
	Incarnation string
	// Address is the IP address and port, as listed by the platform.
	Address          string
	AvailabilityZone string
	// Service is the service that the upstream belongs to.
	Service string
	// Software is the version of the upstream's software, empty if unknown. A stream
	// continues only at the version that began it.
	Software string
	Kind     UpstreamKind
	State    UpstreamState
	// MemoryBytes is the total accelerator memory of the upstream.
	MemoryBytes  int64
	Accelerators int
	// Slots is the maximum batch size of the engine, in requests.
	Slots int
	// CacheTokens is the size of the engine's KV cache for prompts and answers,
	// in tokens; zero if unknown.
	CacheTokens int
	// ChecksFence reports whether the upstream refuses orders with an outdated
	// fencing token.
	ChecksFence bool
}

// ReleaseKey identifies a software version of a service; an empty version is unknown.
type ReleaseKey struct{ Service, Software string }

// Compare orders keys by service and software.
func (k ReleaseKey) Compare(other ReleaseKey) int {
	return cmp.Or(strings.Compare(k.Service, other.Service), strings.Compare(k.Software, other.Software))
}

// Release is a software version that upstreams of a service run or have run.
type Release struct {
	ReleaseKey
	// GoneAt is when the platform no longer listed an upstream of it; zero while it does.
	GoneAt time.Time
}

// Placement lists the weights that an upstream incarnation is confirmed to hold.
type Placement struct {
	Upstream    string
	Incarnation string
	// Models and Adapters are sorted names.
	Models   []string
	Adapters []string
	Role     Role
}

// Configuration is a complete routing configuration as supplied by an operator.
// The highest version is in force.
type Configuration struct {
	// Version is zero if there is no configuration yet.
	Version uint64
	// Content is compressed, in the format of the API that accepted it. It must
	// not be modified.
	Content []byte
}

// Catalog is the catalog at one revision. Its maps must not be modified.
type Catalog struct {
	// Revision increases with each accepted change.
	Revision   uint64
	Classes    map[string]classifier.Class
	Models     map[string]Model
	Adapters   map[string]Adapter
	Upstreams  map[string]Upstream
	Placements map[string]Placement
	Releases   map[ReleaseKey]Release
	// Holders maps a model or adapter name to the sorted names of the upstreams
	// that hold it. It is derived from Placements.
	Holders map[string][]string
	// Services maps a service to its sorted upstream names. It is derived from
	// Upstreams.
	Services      map[string][]string
	Configuration Configuration
}
