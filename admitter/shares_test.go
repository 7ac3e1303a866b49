package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/router"
)

func TestHeavySubscribersAreFoundInBoundedMemory(t *testing.T) {
	s := newShares(64)
	random := rand.New(rand.NewPCG(1, 2))
	now := epoch
	for range 20000 {
		now = now.Add(5 * time.Millisecond)
		subscriber := fmt.Sprintf("light-%d", random.IntN(5000))
		if random.IntN(2) == 0 {
			subscriber = fmt.Sprintf("heavy-%d", random.IntN(4))
		}
		s.add(now, subscriber, 100)
	}
	assert.Equal(t, len(s.entries), 64)
	assert.Equal(t, len(s.index), 64)
	for i := range 4 {
		assert.Assert(t, s.overFairShare(now, fmt.Sprintf("heavy-%d", i)))
	}
	assert.Assert(t, !s.overFairShare(now, "unseen"))
	// Usage decays.
	assert.Assert(t, !s.overFairShare(now.Add(20*usageDecayTime), "heavy-0"))
}

// queueWithHeavySubscriber returns a saturated queue with one heavy subscriber.
func queueWithHeavySubscriber(t *testing.T) (*Queue, []*Grant) {
	t.Helper()
	q, _ := newTestQueue(t, 4)
	for i := range 40 {
		q.shares.subscribers.add(epoch, fmt.Sprintf("light-%d", i), 200)
	}
	q.shares.subscribers.add(epoch, "heavy", 1e6)
	return q, saturate(q, epoch.Add(time.Second))
}

func TestLightSubscribersGoFirstUnderContention(t *testing.T) {
	q, grants := queueWithHeavySubscriber(t)
	now := epoch.Add(1100 * time.Millisecond)
	q.Arrive(now, requestAt(now, "heavy"))
	now = now.Add(10 * time.Millisecond)
	q.Arrive(now, requestAt(now, "light-1"))
	assert.Equal(t, len(takeGrants(q)), 0)
	for _, g := range grants {
		q.End(g, Result{Ended: now, Outcome: router.OutcomeFinished})
		q.Pump(now)
	}
	order := takeGrants(q)
	assert.Assert(t, len(order) >= 2, "%d", len(order))
	position := map[string]int{}
	for i, g := range order {
		position[g.request.Subscriber] = i + 1
	}
	assert.Assert(t, position["light-1"] > 0)
	assert.Assert(t, position["heavy"] == 0 || position["light-1"] < position["heavy"])
}

func TestHeavySubscriberMayUseAnIdleFleet(t *testing.T) {
	q, _ := newTestQueue(t, 4)
	for i := range 40 {
		q.shares.subscribers.add(epoch, fmt.Sprintf("light-%d", i), 200)
	}
	q.shares.subscribers.add(epoch, "heavy", 1e6)
	assert.Assert(t, q.shares.subscribers.overFairShare(epoch, "heavy"))
	for range 4 {
		q.Arrive(epoch, requestAt(epoch, "heavy"))
	}
	assert.Equal(t, len(takeGrants(q)), 4)
}

// separatedSketch keeps exact counts of heavy subscribers and a sketch of the light
// ones, as in "Enabling Efficient Multi-Type Load Awareness for In-Network
// Key-Value Stores".
type separatedSketch struct {
	heavy map[string]float64
	light [2][512]struct {
		name  string
		count float64
	}
	random *rand.Rand
	bound  float64
}

func (s *separatedSketch) add(subscriber string, amount float64) {
	if _, ok := s.heavy[subscriber]; ok {
		s.heavy[subscriber] += amount
		return
	}
	least := &s.light[0][hashOf(subscriber, 0)%512]
	for row := range s.light {
		bucket := &s.light[row][hashOf(subscriber, uint64(row))%512]
		if bucket.name == subscriber {
			least = bucket
			break
		}
		if bucket.count < least.count {
			least = bucket
		}
	}
	least.count += amount
	if least.name != subscriber && s.random.Float64() < amount/least.count {
		least.name = subscriber
	}
	if least.name == subscriber && least.count > s.bound && len(s.heavy) < 1024 {
		s.heavy[subscriber] = least.count
		least.name, least.count = "", 0
	}
}

func hashOf(text string, seed uint64) uint64 {
	h := 14695981039346656037 ^ seed*0x9e3779b97f4a7c15
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h ^ h>>29
}

// skewedSubscribers draws subscribers of which 5 in 100 send half of the requests.
func skewedSubscribers(count int) []string {
	random := rand.New(rand.NewPCG(3, 4))
	names := make([]string, 1<<16)
	for i := range names {
		if random.IntN(2) == 0 {
			names[i] = fmt.Sprintf("s-%d", random.IntN(count/20))
			continue
		}
		names[i] = fmt.Sprintf("s-%d", count/20+random.IntN(count-count/20))
	}
	return names
}

// recall returns the fraction of heavy subscribers that are found.
func recall(count int, isHeavy func(string) bool) float64 {
	hits := 0
	for i := range count / 20 {
		if isHeavy(fmt.Sprintf("s-%d", i)) {
			hits++
		}
	}
	return float64(hits) / float64(count/20)
}

func BenchmarkHeavyHitters(b *testing.B) {
	for _, count := range []int{200, 20000} {
		names := skewedSubscribers(count)
		mean := float64(len(names)) / float64(count)
		b.Run(fmt.Sprintf("bounded-map-%d", count), func(b *testing.B) {
			s := newShares(maxTracked)
			for i := 0; b.Loop(); i++ {
				s.add(epoch, names[i%len(names)], 1)
			}
			s = newShares(maxTracked)
			for _, name := range names {
				s.add(epoch, name, 1)
			}
			b.ReportMetric(recall(count, func(name string) bool {
				at, ok := s.index[name]
				return ok && s.entries[at].amount > heavyFactor*mean
			}), "recall")
		})
		b.Run(fmt.Sprintf("separated-%d", count), func(b *testing.B) {
			newSketch := func() *separatedSketch {
				return &separatedSketch{heavy: map[string]float64{}, random: rand.New(rand.NewPCG(5, 6)), bound: heavyFactor * mean}
			}
			s := newSketch()
			for i := 0; b.Loop(); i++ {
				s.add(names[i%len(names)], 1)
			}
			s = newSketch()
			for _, name := range names {
				s.add(name, 1)
			}
			b.ReportMetric(recall(count, func(name string) bool { return s.heavy[name] > 0 }), "recall")
		})
	}
}

func BenchmarkPumpBacklog(b *testing.B) {
	r := router.New(router.Settings{})
	r.Update(newCatalog(4))
	q := NewQueue(r, epoch)
	for range maxQueued {
		q.Arrive(epoch, requestAt(epoch, "s"))
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Pump(epoch)
	}
}
