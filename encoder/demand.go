package encoder

import (
	"maps"
	"slices"
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/placer"
)

// demandKey names one count.
type demandKey struct{ name, class string }

// DemandEncoder maps an entry's demand for one stream. It tells only what
// changed since it was last asked, and spells each name once.
type DemandEncoder struct {
	ids  map[demandKey]uint32
	told map[demandKey]placer.Count
}

// NewDemandEncoder returns an encoder for a new stream.
func NewDemandEncoder() *DemandEncoder {
	return &DemandEncoder{ids: map[demandKey]uint32{}, told: map[demandKey]placer.Count{}}
}

// Encode returns the counts that changed.
func (e *DemandEncoder) Encode(demand placer.Demand) []*wire.Demand {
	var changed []*wire.Demand
	for _, name := range slices.Sorted(maps.Keys(demand.Counts)) {
		classes := demand.Counts[name]
		for _, class := range slices.Sorted(maps.Keys(classes)) {
			key := demandKey{name: name, class: class}
			count := classes[class]
			if told, known := e.told[key]; known && told == count {
				continue
			}
			e.told[key] = count
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

// DemandDecoder rebuilds an entry's demand from the reports of one stream.
type DemandDecoder struct {
	keys   map[uint32]demandKey
	counts map[string]map[string]placer.Count
}

// NewDemandDecoder returns a decoder for a new stream.
func NewDemandDecoder() *DemandDecoder {
	return &DemandDecoder{
		keys:   map[uint32]demandKey{},
		counts: map[string]map[string]placer.Count{},
	}
}

// Decode takes a report and returns the whole demand so far, which the caller
// may keep. It returns *UnknownDemandError for an ID that was not spelled
// before.
func (d *DemandDecoder) Decode(report *wire.FollowRequest) (placer.Demand, error) {
	for _, told := range report.GetDemand() {
		if told.GetName() != "" {
			d.keys[told.GetId()] = demandKey{name: told.GetName(), class: told.GetClass()}
		}
		key, known := d.keys[told.GetId()]
		if !known {
			return placer.Demand{}, &UnknownDemandError{ID: told.GetId()}
		}
		d.put(key, told)
	}
	return placer.Demand{
		Since:  time.UnixMilli(report.GetSinceUnixMs()),
		Counts: d.copy(),
	}, nil
}

func (d *DemandDecoder) put(key demandKey, told *wire.Demand) {
	classes, ok := d.counts[key.name]
	if !ok {
		classes = map[string]placer.Count{}
		d.counts[key.name] = classes
	}
	classes[key.class] = placer.Count{
		Arrivals:     told.GetArrivals(),
		Ended:        told.GetEnded(),
		PromptTokens: told.GetPromptTokens(),
		AnswerTokens: told.GetAnswerTokens(),
		Refused:      told.GetRefused(),
		Missed:       told.GetMissed(),
		Busy:         time.Duration(told.GetBusyMs()) * time.Millisecond,
	}
}

func (d *DemandDecoder) copy() map[string]map[string]placer.Count {
	copied := make(map[string]map[string]placer.Count, len(d.counts))
	for name, classes := range d.counts {
		copied[name] = maps.Clone(classes)
	}
	return copied
}

// UnknownDemandError says that a report uses an ID that was not spelled on its
// stream.
type UnknownDemandError struct{ ID uint32 }

// Error describes the report.
func (e *UnknownDemandError) Error() string { return "demand with an unknown number" }
