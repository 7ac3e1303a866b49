package encoder

import (
	"burdocklink/cataloger"
	"burdocklink/encoder/wire"
)

func encodeUpstream(upstream cataloger.Upstream) *wire.Upstream {
	return &wire.Upstream{
		Name:             upstream.Name,
		Incarnation:      upstream.Incarnation,
		Address:          upstream.Address,
		AvailabilityZone: upstream.AvailabilityZone,
		Service:          upstream.Service,
		Kind:             int32(upstream.Kind),
		State:            int32(upstream.State),
		MemoryBytes:      upstream.MemoryBytes,
		Accelerators:     int32(upstream.Accelerators),
		Slots:            int32(upstream.Slots),
		ChecksFence:      upstream.ChecksFence,
		Software:         upstream.Software,
	}
}

func decodeUpstream(message *wire.Upstream) (cataloger.Upstream, error) {
	upstream := cataloger.Upstream{
		Name:             message.GetName(),
		Incarnation:      message.GetIncarnation(),
		Address:          message.GetAddress(),
		AvailabilityZone: message.GetAvailabilityZone(),
		Service:          message.GetService(),
		Kind:             cataloger.UpstreamKind(message.GetKind()),
		State:            cataloger.UpstreamState(message.GetState()),
		MemoryBytes:      message.GetMemoryBytes(),
		Accelerators:     int(message.GetAccelerators()),
		Slots:            int(message.GetSlots()),
		ChecksFence:      message.GetChecksFence(),
		Software:         message.GetSoftware(),
	}
	if upstream.Kind > cataloger.PlainUpstream || upstream.State > cataloger.UpstreamLeaving {
		return cataloger.Upstream{}, &NewerVersionError{Message: nameOf(message)}
	}
	return upstream, nil
}

func encodePlacement(placement cataloger.Placement) *wire.Placement {
	return &wire.Placement{
		Upstream:    placement.Upstream,
		Incarnation: placement.Incarnation,
		Models:      placement.Models,
		Adapters:    placement.Adapters,
		Role:        int32(placement.Role),
	}
}

func decodePlacement(message *wire.Placement) (cataloger.Placement, error) {
	placement := cataloger.Placement{
		Upstream:    message.GetUpstream(),
		Incarnation: message.GetIncarnation(),
		Models:      message.GetModels(),
		Adapters:    message.GetAdapters(),
		Role:        cataloger.Role(message.GetRole()),
	}
	if placement.Role > cataloger.RoleDecode {
		return cataloger.Placement{}, &NewerVersionError{Message: nameOf(message)}
	}
	return placement, nil
}
