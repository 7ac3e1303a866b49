package encoder

import (
	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

// EncodeListing writes what changed in the platform's list.
func EncodeListing(changes surveyor.Changes) *wire.Listing {
	message := &wire.Listing{Whole: changes.Full}
	for _, upstream := range changes.Upstreams {
		message.Upstreams = append(message.Upstreams, &wire.ListedUpstream{
			Name:             upstream.Name,
			Incarnation:      upstream.Incarnation,
			Service:          upstream.Service,
			Address:          upstream.Address,
			AvailabilityZone: upstream.AvailabilityZone,
			Slots:            uint32(max(0, upstream.Slots)),
			Leaving:          upstream.State == surveyor.Leaving,
			Models:           encodeHeld(upstream.Holds),
		})
	}
	return message
}

// DecodeListing reads what EncodeListing wrote.
func DecodeListing(message *wire.Listing) surveyor.Changes {
	changes := surveyor.Changes{Full: message.GetWhole()}
	for _, one := range message.GetUpstreams() {
		upstream := surveyor.Upstream{
			Name:             one.GetName(),
			Incarnation:      one.GetIncarnation(),
			Service:          one.GetService(),
			Address:          one.GetAddress(),
			AvailabilityZone: one.GetAvailabilityZone(),
			Slots:            int(one.GetSlots()),
			State:            surveyor.Live,
			Holds:            decodeHeld(one.GetModels()),
		}
		if one.GetLeaving() {
			upstream.State = surveyor.Leaving
		}
		changes.Upstreams = append(changes.Upstreams, upstream)
	}
	return changes
}

func encodeHeld(holds []surveyor.HeldModel) []*wire.HeldModel {
	var messages []*wire.HeldModel
	for _, held := range holds {
		messages = append(messages, &wire.HeldModel{
			Model:    held.Model,
			Version:  int64(held.Version),
			Adapters: held.Adapters,
		})
	}
	return messages
}

func decodeHeld(messages []*wire.HeldModel) []surveyor.HeldModel {
	var holds []surveyor.HeldModel
	for _, held := range messages {
		holds = append(holds, surveyor.HeldModel{
			Model:    held.GetModel(),
			Version:  int(held.GetVersion()),
			Adapters: held.GetAdapters(),
		})
	}
	return holds
}
