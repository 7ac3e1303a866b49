package admitter

import (
	"math"
	"time"
)

// Rules of fair shares.
const (
	// usageDecayTime is how long use is remembered: it decays by this time.
	usageDecayTime = 30 * time.Second
	// heavyFactor is how many times the mean of the active subscribers one may
	// use before others go first.
	heavyFactor = 3.0
	// maxTracked bounds the subscribers that are counted.
	maxTracked = 2048
	// evictionSample is how many entries are compared to find the one that gives
	// way to a new subscriber.
	evictionSample = 8
	// minActiveUsage is the least use, in tokens, of an active subscriber.
	minActiveUsage = 100.0
	// answerTokenCost is what an answer token costs against a prompt token.
	answerTokenCost = 16
)

// usage is what one subscriber used of late.
type usage struct {
	subscriber string
	// amount is in tokens at the time at.
	amount float64
	at     time.Time
}

// decayed returns the use at a later time.
func (u *usage) decayed(now time.Time) float64 {
	passed := now.Sub(u.at).Seconds()
	if passed <= 0 {
		return u.amount
	}
	return u.amount * math.Exp(-passed/usageDecayTime.Seconds())
}

// shares counts the use of the subscribers in bounded memory. A new subscriber
// takes over the entry of the least used among a few and keeps its count, so
// that a heavy one is never counted too low.
type shares struct {
	limit   int
	entries []usage
	index   map[string]int
	cursor  int
	// meanUsage is the use of the mean active subscriber, measured at each census.
	meanUsage  float64
	nextMeanAt time.Time
}

// meanInterval is how often the active subscribers are counted.
const meanInterval = time.Second

func newShares(limit int) *shares {
	return &shares{limit: limit, index: make(map[string]int, limit)}
}

// add counts use.
func (s *shares) add(now time.Time, subscriber string, amount float64) {
	index, known := s.index[subscriber]
	if !known {
		index = s.allocate(now, subscriber)
	}
	entry := &s.entries[index]
	entry.amount = entry.decayed(now) + amount
	entry.at = now
}

// allocate returns the entry for a new subscriber.
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

// overFairShare says whether a subscriber used more than its fair share of late.
func (s *shares) overFairShare(now time.Time, subscriber string) bool {
	s.updateMean(now)
	index, known := s.index[subscriber]
	return known && s.meanUsage > 0 && s.entries[index].decayed(now) > heavyFactor*s.meanUsage
}

// updateMean measures the mean use of the active subscribers.
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

// cost is what a request uses, in prompt tokens.
func cost(request *Request) float64 {
	return float64(request.Route.PromptTokens) + answerTokenCost*float64(max(1, request.Route.AnswerTokens))
}
