package encoder

import (
	"maps"
	"slices"
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/placer"
)

// demandKey identifies a count by the name of a model or adapter and a class.
type demandKey struct{ name, class string }

// DemandEncoder encodes an entry's demand for one stream. It sends only the counts
// that changed since the previous call, and each name only once, with an ID for
// later reports.
type DemandEncoder struct {
	ids  map[demandKey]uint32
	sent map[demandKey]placer.Count
}

// NewDemandEncoder returns an encoder for a new stream.
func NewDemandEncoder() *DemandEncoder {
	return &DemandEncoder{ids: map[demandKey]uint32{}, sent: map[demandKey]placer.Count{}}
}

// Encode returns the counts that changed.
func (e *DemandEncoder) Encode(demand placer.Demand) []*wire.Demand {
	var changed []*wire.Demand
	for _, name := range slices.Sorted(maps.Keys(demand.Counts)) {
		classes := demand.Counts[name]
		for _, class := range slices.Sorted(maps.Keys(classes)) {
			key := demandKey{name: name, class: class}
			count := classes[class]
			if sent, known := e.sent[key]; known && sent == count {
				continue
			}
			e.sent[key] = count
			changed = append(changed, e.encode(key, count))
		}
	}
	return changed
}

func (e *DemandEncoder) encode(key demandKey, count placer.Count) *wire.Demand {
	message := &wire.Demand{
		Arrivals:     count.Arrivals,
		Ended:        count.Ended,
		PromptTokens: count.PromptTokens,
		AnswerTokens: count.AnswerTokens,
		Refused:      count.Refused,
		Missed:       count.Missed,
		BusyMs:       uint64(count.Busy.Milliseconds()),
	}
	id, known := e.ids[key]
	if !known {
		id = uint32(len(e.ids) + 1)
		e.ids[key] = id
		message.Name = key.name
		message.Class = key.class
	}
	message.Id = id
	return message
}

// DemandDecoder decodes an entry's demand from the reports of one stream.
type DemandDecoder struct {
	keys map[uint32]demandKey
}

// NewDemandDecoder returns a decoder for a new stream.
func NewDemandDecoder() *DemandDecoder {
	return &DemandDecoder{keys: map[uint32]demandKey{}}
}

// Decode returns the counts of a report, which are those that changed. It returns
// an *UnknownDemandIDError for an ID whose name was not sent before.
func (d *DemandDecoder) Decode(report *wire.FollowRequest) ([]placer.ClassCount, error) {
	counts := make([]placer.ClassCount, 0, len(report.GetDemand()))
	for _, message := range report.GetDemand() {
		if message.GetName() != "" {
			d.keys[message.GetId()] = demandKey{name: message.GetName(), class: message.GetClass()}
		}
		key, known := d.keys[message.GetId()]
		if !known {
			return nil, &UnknownDemandIDError{ID: message.GetId()}
		}
		counts = append(counts, placer.ClassCount{Name: key.name, Class: key.class, Count: decodeCount(message)})
	}
	return counts, nil
}

// maxBusyMs limits the time in a message, in milliseconds.
const maxBusyMs = uint64(maxAge / time.Millisecond)

func decodeCount(message *wire.Demand) placer.Count {
	return placer.Count{
		Arrivals:     message.GetArrivals(),
		Ended:        message.GetEnded(),
		PromptTokens: message.GetPromptTokens(),
		AnswerTokens: message.GetAnswerTokens(),
		Refused:      message.GetRefused(),
		Missed:       message.GetMissed(),
		Busy:         time.Duration(min(message.GetBusyMs(), maxBusyMs)) * time.Millisecond,
	}
}

// UnknownDemandIDError reports an ID whose name was not sent on the stream.
type UnknownDemandIDError struct{ ID uint32 }

// Error implements error.
func (e *UnknownDemandIDError) Error() string { return "demand with an unknown number" }
