package encoder_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/placer"
)

func TestDemandEncoderSendsOnlyChangedCounts(t *testing.T) {
	sender, receiver := encoder.NewDemandEncoder(), encoder.NewDemandDecoder()
	demand := placer.Demand{Counts: map[string]map[string]placer.Count{
		"large": {"waiting": {Arrivals: 3}, "drafts": {Arrivals: 1}},
	}}

	first := &wire.FollowRequest{Demand: sender.Encode(demand)}
	assert.Equal(t, len(first.Demand), 2)
	received, err := receiver.Decode(first)
	assert.NilError(t, err)
	assert.DeepEqual(t, received, []placer.ClassCount{
		{Name: "large", Class: "drafts", Count: placer.Count{Arrivals: 1}},
		{Name: "large", Class: "waiting", Count: placer.Count{Arrivals: 3}},
	})

	demand.Counts["large"]["waiting"] = placer.Count{Arrivals: 4, Missed: 1, Busy: 3 * time.Second}
	second := &wire.FollowRequest{Demand: sender.Encode(demand)}
	assert.Equal(t, len(second.Demand), 1)
	assert.Equal(t, second.Demand[0].GetName(), "")

	received, err = receiver.Decode(second)
	assert.NilError(t, err)
	assert.DeepEqual(t, received, []placer.ClassCount{
		{Name: "large", Class: "waiting", Count: demand.Counts["large"]["waiting"]},
	})
}

func TestUnknownDemandIDIsRefused(t *testing.T) {
	report := &wire.FollowRequest{Demand: []*wire.Demand{{Id: 7}}}

	_, err := encoder.NewDemandDecoder().Decode(report)

	assert.ErrorType(t, err, &encoder.UnknownDemandIDError{})
}

// BenchmarkDemandBytes measures the size of one report by the number of requests
// since the previous one, with 390 models and three classes.
func BenchmarkDemandBytes(b *testing.B) {
	for _, requests := range []int{0, 20, 140, 350} {
		b.Run(fmt.Sprintf("requests-%d", requests), func(b *testing.B) {
			const models, classes = 390, 3
			random := rand.New(rand.NewPCG(1, 2))
			demand := placer.Demand{Counts: map[string]map[string]placer.Count{}}
			for model := range models {
				counts := map[string]placer.Count{}
				for class := range classes {
					counts[fmt.Sprintf("class-%d", class)] = placer.Count{Arrivals: 50000, PromptTokens: 20e6, AnswerTokens: 10e6}
				}
				demand.Counts[fmt.Sprintf("model-%03d", model)] = counts
			}
			sender := encoder.NewDemandEncoder()
			sender.Encode(demand)
			bytes := 0
			for b.Loop() {
				for range requests {
					name := fmt.Sprintf("model-%03d", random.IntN(models))
					class := fmt.Sprintf("class-%d", random.IntN(classes))
					count := demand.Counts[name][class]
					count.Arrivals++
					count.Ended++
					count.PromptTokens += 400
					count.AnswerTokens += 300
					demand.Counts[name][class] = count
				}
				bytes += proto.Size(&wire.FollowRequest{Demand: sender.Encode(demand)})
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/report")
		})
	}
}
