package encoder

import "burdocklink/cataloger"

// Names of kinds and states in the platform's and the weight store's lists.
const (
	kindEngine   = "engine"
	kindService  = "service"
	kindAdapter  = "adapter"
	stateLeaving = "leaving"
)

// UnknownKindError reports a kind of VM that this version does not know.
type UnknownKindError struct{ Name, Kind string }

// Error implements error.
func (e *UnknownKindError) Error() string { return "unknown kind " + e.Kind + " of " + e.Name }

// DecodeVM converts a VM of the platform's list to an upstream. The error is an
// *UnknownKindError.
func DecodeVM(wire VM) (cataloger.Upstream, error) {
	upstream := cataloger.Upstream{
		Name:             wire.Name,
		Incarnation:      wire.Incarnation,
		Address:          wire.Address,
		AvailabilityZone: wire.AvailabilityZone,
		Service:          wire.Service,
		Software:         wire.Software,
		State:            cataloger.UpstreamLive,
		MemoryBytes:      wire.MemoryBytes,
		Accelerators:     wire.Accelerators,
		Slots:            wire.Slots,
		ChecksFence:      wire.ChecksFence,
	}
	if wire.State == stateLeaving {
		upstream.State = cataloger.UpstreamLeaving
	}
	switch wire.Kind {
	case kindEngine:
		upstream.Kind = cataloger.EngineUpstream
	case kindService:
		upstream.Kind = cataloger.PlainUpstream
	default:
		return cataloger.Upstream{}, &UnknownKindError{Name: wire.Name, Kind: wire.Kind}
	}
	return upstream, nil
}

// DecodeWeights converts an item of the weight store's list to the change that
// adds it to a catalog.
func DecodeWeights(wire Weights) cataloger.Change {
	if wire.Kind == kindAdapter {
		return cataloger.PutAdapter{Adapter: cataloger.Adapter{
			Name:        wire.Name,
			Model:       wire.Base,
			MemoryBytes: wire.MemoryBytes,
			Version:     wire.Version,
		}}
	}
	return cataloger.PutModel{Model: cataloger.Model{
		Name:        wire.Name,
		Service:     wire.Service,
		MemoryBytes: wire.MemoryBytes,
		Version:     wire.Version,
	}}
}
