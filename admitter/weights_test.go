package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/router"
)

// Guards against an organisation that yields although it uses no more than its part, in
// random mixes of weights and traffic.
func TestOrganisationsWithinTheirPartNeverYield(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 5))
		s := newWeightedShares()
		now := epoch
		weights := make([]float64, 2+random.IntN(15))
		for i := range weights {
			weights[i] = 1 + 100*random.Float64()*random.Float64()
		}
		for range 300 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			i := random.IntN(len(weights))
			s.add(now, fmt.Sprint(i), weights[i], float64(100+random.IntN(4000)))
		}
		work, weight := 0.0, 0.0
		for _, usage := range s.organisations {
			usage.decay(now)
			work += usage.work
			weight += usage.weight
		}
		for name, usage := range s.organisations {
			if usage.work*weight <= usage.weight*work {
				assert.Assert(t, !s.over(now, name), "seed %d: organisation %s", seed, name)
			}
		}
	}
}

func TestAnOrganisationAloneNeverYields(t *testing.T) {
	s := newWeightedShares()
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		s.add(now, "a", 5, 1000)
		assert.Assert(t, !s.over(now, "a"))
	}
	assert.Assert(t, !s.over(epoch, "unseen"))
}

// Guards against a burst of one organisation for which the others pay: it yields within two
// seconds, whether it is large or small, and nobody else does.
func TestAHotOrganisationYields(t *testing.T) {
	weights := map[string]float64{"large": 40, "middle": 10, "small": 2}
	for hot := range weights {
		t.Run(hot, func(t *testing.T) {
			s := newWeightedShares()
			random := rand.New(rand.NewPCG(7, 7))
			const step = 5 * time.Millisecond
			yielded, others, total := 0, map[string]int{}, map[string]int{}
			for at := time.Duration(0); at < 12*time.Second; at += step {
				now := epoch.Add(at)
				for _, name := range []string{"large", "middle", "small"} {
					weight := weights[name]
					perSecond := weight
					if name == hot && at > 8*time.Second {
						perSecond *= 4
					}
					if random.Float64() > perSecond*step.Seconds() {
						continue
					}
					over := s.over(now, name)
					total[name]++
					s.add(now, name, weight, float64(500+random.IntN(2000)))
					switch {
					case over && name != hot:
						others[name]++
					case over && at > 10*time.Second:
						yielded++
					case over && at < 8*time.Second:
						others[name]++
					}
				}
			}
			assert.Assert(t, yielded > 0, "the hot organisation never yielded")
			for name, count := range others {
				assert.Assert(t, float64(count) <= 0.03*float64(total[name]), "%d of %d requests of %s yielded", count, total[name], name)
			}
		})
	}
}

// Guards against shares of one service that are judged by the work at another.
func TestSharesAreCountedPerService(t *testing.T) {
	f := newFairShares()
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		f.add(now, &Request{Subscriber: "a", Weight: 1, Route: router.Request{Service: "engines", PromptTokens: 1000}})
		f.add(now, &Request{Subscriber: "b", Weight: 1, Route: router.Request{Service: "calendar"}})
	}
	now := epoch.Add(time.Second)
	for _, service := range []string{"engines", "calendar"} {
		for _, organisation := range []string{"a", "b"} {
			assert.Assert(t, !f.over(now, &Request{Subscriber: organisation, Weight: 1, Route: router.Request{Service: service}}))
		}
	}
}
