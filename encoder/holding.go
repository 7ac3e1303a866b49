package encoder

import (
	"maps"
	"slices"
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/estimator"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// EncodeLoads encodes an entry's in-flight load by upstream.
func EncodeLoads(loads []router.Load) []*wire.EntryLoad {
	var messages []*wire.EntryLoad
	for _, load := range loads {
		message := &wire.EntryLoad{
			Upstream:     load.Upstream,
			Incarnation:  load.Incarnation,
			Requests:     uint32(max(0, load.Requests)),
			Tokens:       uint32(max(0, load.KVCacheTokens)),
			PromptTokens: uint32(max(0, load.PromptTokens)),
		}
		for _, name := range slices.Sorted(maps.Keys(load.Models)) {
			message.Models = append(message.Models, &wire.ModelLoad{
				Name:     name,
				Requests: uint32(max(0, load.Models[name])),
			})
		}
		messages = append(messages, message)
	}
	return messages
}

// DecodeLoads decodes the output of EncodeLoads.
func DecodeLoads(messages []*wire.EntryLoad) []router.Load {
	var loads []router.Load
	for _, message := range messages {
		load := router.Load{
			Upstream:    message.GetUpstream(),
			Incarnation: message.GetIncarnation(),
			EntryLoad: estimator.EntryLoad{
				Requests:      int(message.GetRequests()),
				KVCacheTokens: int(message.GetTokens()),
				PromptTokens:  int(message.GetPromptTokens()),
			},
			Models: make(map[string]int, len(message.GetModels())),
		}
		for _, model := range message.GetModels() {
			load.Models[model.GetName()] = int(model.GetRequests())
		}
		loads = append(loads, load)
	}
	return loads
}

// HoldingsLifetime is the time for which holdings sent by the control group take
// precedence over those in the platform's list. It spans two of the periodic
// confirmations that the holdings are unchanged.
const HoldingsLifetime = 5 * time.Second

// EncodeHoldings encodes the holdings of engines.
func EncodeHoldings(holdings []surveyor.EngineHoldings) []*wire.Holding {
	var messages []*wire.Holding
	for _, engine := range holdings {
		messages = append(messages, &wire.Holding{
			Upstream:    engine.Upstream,
			Incarnation: engine.Incarnation,
			Models:      encodeHeldModels(engine.Holds),
		})
	}
	return messages
}

// DecodeHoldings decodes holdings received now. They are valid for
// HoldingsLifetime.
func DecodeHoldings(messages []*wire.Holding, now time.Time) []surveyor.EngineHoldings {
	var holdings []surveyor.EngineHoldings
	for _, message := range messages {
		holdings = append(holdings, surveyor.EngineHoldings{
			Upstream:    message.GetUpstream(),
			Incarnation: message.GetIncarnation(),
			Holds:       decodeHeldModels(message.GetModels()),
			ValidUntil:  now.Add(HoldingsLifetime),
		})
	}
	return holdings
}
