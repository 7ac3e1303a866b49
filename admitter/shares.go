package admitter

import (
	"math"
	"time"
)

// Parameters of fair sharing.
const (
	// usageDecayTime is the time constant by which recorded usage decays.
	usageDecayTime = 30 * time.Second
	// heavyFactor is the multiple of the mean usage of active subscribers above
	// which a subscriber's requests yield to others.
	heavyFactor = 3.0
	// maxTracked bounds the number of tracked subscribers.
	maxTracked = 2048
	// evictionSample is how many entries are compared to choose the one that a new
	// subscriber replaces.
	evictionSample = 8
	// minActiveUsage is the least usage of an active subscriber, in tokens.
	minActiveUsage = 100.0
	// answerTokenCost is the cost of an answer token, in prompt tokens.
	answerTokenCost = 16
)

// usage is the recent usage of one subscriber.
type usage struct {
	subscriber string
	// amount is in tokens at the time at.
	amount float64
	at     time.Time
}

// decayed returns the usage at a later time.
func (u *usage) decayed(now time.Time) float64 {
	elapsed := now.Sub(u.at).Seconds()
	if elapsed <= 0 {
		return u.amount
	}
	return u.amount * math.Exp(-elapsed/usageDecayTime.Seconds())
}

// shares tracks the usage of subscribers in bounded memory. A new subscriber
// replaces the least used of a few sampled entries and inherits its count, so that
// a heavy subscriber is never undercounted.
type shares struct {
	limit   int
	entries []usage
	index   map[string]int
	cursor  int
	// meanUsage is the mean usage of active subscribers at the last update.
	meanUsage  float64
	nextMeanAt time.Time
}

// meanInterval is how often the mean usage is recomputed.
const meanInterval = time.Second

func newShares(limit int) *shares {
	return &shares{limit: limit, index: make(map[string]int, limit)}
}

// add records usage.
func (s *shares) add(now time.Time, subscriber string, amount float64) {
	index, known := s.index[subscriber]
	if !known {
		index = s.allocate(now, subscriber)
	}
	entry := &s.entries[index]
	entry.amount = entry.decayed(now) + amount
	entry.at = now
}

// allocate returns the entry index for a new subscriber.
func (s *shares) allocate(now time.Time, subscriber string) int {
	if len(s.entries) < s.limit {
		s.entries = append(s.entries, usage{subscriber: subscriber, at: now})
		s.index[subscriber] = len(s.entries) - 1
		return len(s.entries) - 1
	}
	least := s.cursor
	for range evictionSample {
		s.cursor = (s.cursor + 1) % len(s.entries)
		if s.entries[s.cursor].decayed(now) < s.entries[least].decayed(now) {
			least = s.cursor
		}
	}
	delete(s.index, s.entries[least].subscriber)
	s.entries[least].subscriber = subscriber
	s.index[subscriber] = least
	return least
}

// overFairShare reports whether the recent usage of a subscriber exceeds its fair
// share.
func (s *shares) overFairShare(now time.Time, subscriber string) bool {
	s.updateMean(now)
	index, known := s.index[subscriber]
	return known && s.meanUsage > 0 && s.entries[index].decayed(now) > heavyFactor*s.meanUsage
}

// updateMean recomputes the mean usage of active subscribers.
func (s *shares) updateMean(now time.Time) {
	if now.Before(s.nextMeanAt) {
		return
	}
	s.nextMeanAt = now.Add(meanInterval)
	sum, count := 0.0, 0
	for i := range s.entries {
		if amount := s.entries[i].decayed(now); amount > minActiveUsage {
			sum += amount
			count++
		}
	}
	s.meanUsage = 0
	if count > 0 {
		s.meanUsage = sum / float64(count)
	}
}

// cost returns the usage of a request, in prompt tokens.
func cost(request *Request) float64 {
	return float64(request.Route.PromptTokens) + answerTokenCost*float64(max(1, request.Route.AnswerTokens))
}
