package encoder

import (
	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

// EncodeListing encodes changes of the platform's list.
func EncodeListing(changes surveyor.Changes) *wire.Listing {
	message := &wire.Listing{Whole: changes.Full}
	for _, upstream := range changes.Upstreams {
		message.Upstreams = append(message.Upstreams, &wire.ListedUpstream{
			Name:             upstream.Name,
			Incarnation:      upstream.Incarnation,
			Service:          upstream.Service,
			Address:          upstream.Address,
			AvailabilityZone: upstream.AvailabilityZone,
			Software:         upstream.Software,
			Slots:            uint32(max(0, upstream.Slots)),
			Leaving:          upstream.State == surveyor.Leaving,
			Models:           encodeHeldModels(upstream.Holds),
		})
	}
	return message
}

// DecodeListing decodes the output of EncodeListing.
func DecodeListing(message *wire.Listing) surveyor.Changes {
	changes := surveyor.Changes{Full: message.GetWhole()}
	for _, listed := range message.GetUpstreams() {
		upstream := surveyor.Upstream{
			Name:             listed.GetName(),
			Incarnation:      listed.GetIncarnation(),
			Service:          listed.GetService(),
			Address:          listed.GetAddress(),
			AvailabilityZone: listed.GetAvailabilityZone(),
			Software:         listed.GetSoftware(),
			Slots:            int(listed.GetSlots()),
			State:            surveyor.Live,
			Holds:            decodeHeldModels(listed.GetModels()),
		}
		if listed.GetLeaving() {
			upstream.State = surveyor.Leaving
		}
		changes.Upstreams = append(changes.Upstreams, upstream)
	}
	return changes
}

func encodeHeldModels(holds []surveyor.HeldModel) []*wire.HeldModel {
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

func decodeHeldModels(messages []*wire.HeldModel) []surveyor.HeldModel {
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
