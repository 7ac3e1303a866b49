package encoder

import (
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/placer"
)

// EncodeDemand maps an entry's demand into a report.
func EncodeDemand(demand placer.Demand) *wire.FollowRequest {
	report := &wire.FollowRequest{SinceUnixMs: demand.Since.UnixMilli()}
	for name, classes := range demand.Counts {
		for class, count := range classes {
			report.Demand = append(report.Demand, &wire.Demand{
				Name:         name,
				Class:        class,
				Arrivals:     count.Arrivals,
				Ended:        count.Ended,
				PromptTokens: count.PromptTokens,
				AnswerTokens: count.AnswerTokens,
				Refused:      count.Refused,
				Missed:       count.Missed,
			})
		}
	}
	return report
}

// DecodeDemand maps the demand in an entry's report.
func DecodeDemand(report *wire.FollowRequest) placer.Demand {
	demand := placer.Demand{
		Since:  time.UnixMilli(report.GetSinceUnixMs()),
		Counts: map[string]map[string]placer.Count{},
	}
	for _, told := range report.GetDemand() {
		classes, ok := demand.Counts[told.GetName()]
		if !ok {
			classes = map[string]placer.Count{}
			demand.Counts[told.GetName()] = classes
		}
		classes[told.GetClass()] = placer.Count{
			Arrivals:     told.GetArrivals(),
			Ended:        told.GetEnded(),
			PromptTokens: told.GetPromptTokens(),
			AnswerTokens: told.GetAnswerTokens(),
			Refused:      told.GetRefused(),
			Missed:       told.GetMissed(),
		}
	}
	return demand
}
