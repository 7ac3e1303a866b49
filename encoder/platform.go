package encoder

import (
	"net/netip"
	"strings"
	"unicode"

	"burdocklink/cataloger"
)

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

// UnusableVMError reports a VM of the platform's list with a field that is missing or out of
// range.
type UnusableVMError struct{ Name, Field string }

// Error implements error.
func (e *UnusableVMError) Error() string { return "unusable " + e.Field + " of " + e.Name }

// Limits of a VM in the platform's list.
const (
	maxVMNameBytes = 128
	maxVMSlots     = 1 << 16
)

// check returns an *UnusableVMError if the VM can't be an upstream.
func (wire *VM) check() error {
	address, err := netip.ParseAddrPort(wire.Address)
	switch {
	case !isUsableName(wire.Name):
		return &UnusableVMError{Name: wire.Name, Field: "name"}
	case !isUsableName(wire.Incarnation):
		return &UnusableVMError{Name: wire.Name, Field: "incarnation"}
	case !isUsableName(wire.Service):
		return &UnusableVMError{Name: wire.Name, Field: "service"}
	case err != nil || address.Port() == 0:
		return &UnusableVMError{Name: wire.Name, Field: "address"}
	case wire.MemoryBytes < 0 || wire.Accelerators < 0:
		return &UnusableVMError{Name: wire.Name, Field: "memory"}
	case wire.Slots < 0 || wire.Slots > maxVMSlots:
		return &UnusableVMError{Name: wire.Name, Field: "slots"}
	default:
		return nil
	}
}

func isUsableName(name string) bool {
	return name != "" && len(name) <= maxVMNameBytes && !strings.ContainsFunc(name, unicode.IsControl)
}

// DecodeVM converts a VM of the platform's list to an upstream. The error is an
// *UnknownKindError or an *UnusableVMError.
func DecodeVM(wire VM) (cataloger.Upstream, error) {
	if err := wire.check(); err != nil {
		return cataloger.Upstream{}, err
	}
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
