package placer

import "time"

// Demand counts the requests that an entry has received since it started. It is
// cumulative, so that a lost report loses no counts.
type Demand struct {
	// Since is when the entry began to count.
	Since time.Time
	// Counts is by model or adapter, then by class.
	Counts map[string]map[string]Count
}

// Count is the demand for one model or adapter in one class.
type Count struct {
	Arrivals uint64
	// Ended counts requests that were dispatched and have ended. Busy is the
	// total time that they spent at their upstreams; PromptTokens and
	// AnswerTokens are theirs.
	Ended        uint64
	Busy         time.Duration
	PromptTokens uint64
	AnswerTokens uint64
	// Refused counts requests answered without being run, Missed those late or
	// refused.
	Refused uint64
	Missed  uint64
}

// ClassCount is the count of one model or adapter in one class.
type ClassCount struct {
	Name, Class string
	Count       Count
}

// Since returns what was counted after an earlier count, which is zero for
// counts that have restarted. Values below the earlier ones give zero.
func (c Count) Since(past Count) Count {
	return Count{
		Arrivals:     c.Arrivals - min(c.Arrivals, past.Arrivals),
		Ended:        c.Ended - min(c.Ended, past.Ended),
		Busy:         max(0, c.Busy-past.Busy),
		PromptTokens: c.PromptTokens - min(c.PromptTokens, past.PromptTokens),
		AnswerTokens: c.AnswerTokens - min(c.AnswerTokens, past.AnswerTokens),
		Refused:      c.Refused - min(c.Refused, past.Refused),
		Missed:       c.Missed - min(c.Missed, past.Missed),
	}
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{
		Arrivals:     c.Arrivals + other.Arrivals,
		Ended:        c.Ended + other.Ended,
		Busy:         c.Busy + other.Busy,
		PromptTokens: c.PromptTokens + other.PromptTokens,
		AnswerTokens: c.AnswerTokens + other.AnswerTokens,
		Refused:      c.Refused + other.Refused,
		Missed:       c.Missed + other.Missed,
	}
}

// total returns the sum over all classes of a model or adapter.
func total(classes map[string]Count) Count {
	var sum Count
	for _, count := range classes {
		sum = sum.Add(count)
	}
	return sum
}
