package admitter

import (
	"math"
	"time"
)

// Rules of fair shares.
const (
	// shareTime is how long use is remembered: it decays by this time.
	shareTime = 30 * time.Second
	// shareFactor is how many times the mean of the active subscribers one may
	// use before others go first.
	shareFactor = 3.0
	// shareEntries bounds the subscribers that are counted.
	shareEntries = 2048
	// shareSample is how many entries are compared to find the one that gives
	// way to a new subscriber.
	shareSample = 8
	// active is the least use, in tokens, of an active subscriber.
	active = 100.0
	// answerCost is what an answer token costs against a prompt token.
	answerCost = 16
)

// use is what one subscriber used of late.
type use struct {
	subscriber string
	// amount is in tokens at the time at.
	amount float64
	at     time.Time
}

// decayed returns the use at a later time.
func (u *use) decayed(now time.Time) float64 {
	passed := now.Sub(u.at).Seconds()
	if passed <= 0 {
		return u.amount
	}
	return u.amount * math.Exp(-passed/shareTime.Seconds())
}

// shares counts the use of the subscribers in bounded memory. A new subscriber
// takes over the entry of the least used among a few and keeps its count, so
// that a heavy one is never counted too low.
type shares struct {
	limit   int
	entries []use
	index   map[string]int
	hand    int
	// mean is the use of the mean active subscriber, measured at each census.
	mean     float64
	censusAt time.Time
}

// censusEvery is how often the active subscribers are counted.
const censusEvery = time.Second

func newShares(limit int) *shares {
	return &shares{limit: limit, index: make(map[string]int, limit)}
}

// add counts use.
func (s *shares) add(now time.Time, subscriber string, amount float64) {
	at, known := s.index[subscriber]
	if !known {
		at = s.place(now, subscriber)
	}
	entry := &s.entries[at]
	entry.amount = entry.decayed(now) + amount
	entry.at = now
}

// place returns the entry for a new subscriber.
func (s *shares) place(now time.Time, subscriber string) int {
	if len(s.entries) < s.limit {
		s.entries = append(s.entries, use{subscriber: subscriber, at: now})
		s.index[subscriber] = len(s.entries) - 1
		return len(s.entries) - 1
	}
	least := s.hand
	for range shareSample {
		s.hand = (s.hand + 1) % len(s.entries)
		if s.entries[s.hand].decayed(now) < s.entries[least].decayed(now) {
			least = s.hand
		}
	}
	delete(s.index, s.entries[least].subscriber)
	s.entries[least].subscriber = subscriber
	s.index[subscriber] = least
	return least
}

// over says whether a subscriber used more than its fair share of late.
func (s *shares) over(now time.Time, subscriber string) bool {
	s.census(now)
	at, known := s.index[subscriber]
	return known && s.mean > 0 && s.entries[at].decayed(now) > shareFactor*s.mean
}

// census measures the mean use of the active subscribers.
func (s *shares) census(now time.Time) {
	if now.Before(s.censusAt) {
		return
	}
	s.censusAt = now.Add(censusEvery)
	sum, count := 0.0, 0
	for i := range s.entries {
		if amount := s.entries[i].decayed(now); amount > active {
			sum += amount
			count++
		}
	}
	s.mean = 0
	if count > 0 {
		s.mean = sum / float64(count)
	}
}

// cost is what a request uses, in prompt tokens.
func cost(request *Request) float64 {
	return float64(request.Route.PromptTokens) + answerCost*float64(max(1, request.Route.AnswerTokens))
}
