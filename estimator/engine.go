package estimator

import "time"

// Defaults where an upstream has not yet reported a rate.
const (
	// defaultPrefillRate is in prompt tokens per second.
	defaultPrefillRate = 8000
	// defaultDecodeRate is in tokens per second for one running request.
	defaultDecodeRate = 40
	// defaultAnswerTokens is the length of an answer not yet measured.
	defaultAnswerTokens = 128
)

// recentCalls bounds how many own dispatches and ends are remembered after
// the last report was taken.
const recentCalls = 64

// biasWeight is the share of a new measurement in the bias of the prediction.
const biasWeight = 0.1

// answerWeight is the share of a new answer in the mean answer length.
const answerWeight = 0.05

// Work is one request as the estimator sees it.
type Work struct {
	// PromptTokens is the prompt's length, CachedTokens the part of it that
	// the engine is believed to hold in its prefix cache.
	PromptTokens int
	CachedTokens int
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int
}

// Memory is what the request is expected to need, in tokens.
func (w Work) Memory() int { return w.PromptTokens + w.AnswerTokens }

// Prediction is how long a request is expected to take on an engine.
type Prediction struct {
	// FirstToken is the wait from now to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean gap between two tokens.
	BetweenTokens time.Duration
	// Load is the estimated number of requests running and waiting.
	Load float64
}

type call struct {
	at     time.Time
	tokens int
}

// Engine estimates the load of one upstream. It is not safe for concurrent
// use and does not allocate once it is made.
type Engine struct {
	report   Report
	reported bool
	slots    int
	// entries is how many entries dispatch to the upstream; the others are
	// believed to do what this one does.
	entries  float64
	starts   []call
	ends     []call
	inFlight int
	answer   float64
	// backlog is the prompt tokens that wait for prefill at a time.
	backlog   float64
	backlogAt time.Time
	// pace bounds how fast prompts are sent.
	pace Pace
	// others is what the other entries have in flight, as told last; it counts
	// until othersUntil.
	others      Share
	othersUntil time.Time
	// reserved is the memory that own dispatches in flight are expected to
	// need, in tokens.
	reserved int
	// bias is how much longer than predicted the first token takes, in
	// seconds.
	bias float64
	// speed is what was learned of the engines of its service; nil for nothing.
	speed *Speed
}

// New returns an estimate for an upstream that batches the given number of
// requests at once, and to which a number of entries dispatch.
func New(slots, entries int) *Engine {
	return &Engine{
		slots:   slots,
		entries: float64(max(1, entries)),
		starts:  make([]call, 0, recentCalls),
		ends:    make([]call, 0, recentCalls),
		answer:  defaultAnswerTokens,
	}
}

// Learn has the pace of prompts follow what is learned of the engines of a service.
// Predictions don't: with them more requests failed.
func (e *Engine) Learn(speed *Speed) { e.speed = speed }

// Observe takes in a load report. It returns false for a report that is older
// than the one it has.
func (e *Engine) Observe(report Report) bool {
	same := report.Incarnation == e.report.Incarnation
	if e.reported && same && report.Sequence <= e.report.Sequence {
		return false
	}
	e.report = report
	e.reported = true
	if report.Slots > 0 {
		e.slots = report.Slots
	}
	e.starts = after(e.starts, report.Taken)
	e.ends = after(e.ends, report.Taken)
	e.backlog, e.backlogAt = float64(report.WaitingTokens), report.Taken
	for _, start := range e.starts {
		e.addBacklog(start)
	}
	return true
}

// Share is what one entry, or several together, have in flight at an engine.
type Share struct {
	Requests int
	// Tokens is the memory that the requests are expected to need.
	Tokens int
	// PromptTokens were dispatched since it was told before.
	PromptTokens int
}

// othersTime is how long the word of the other entries counts. It spans a few
// tellings, so that a lost one changes nothing.
const othersTime = 2 * time.Second

// Others takes in what the other entries have in flight. It takes the place of
// the guess that they do what this one does.
func (e *Engine) Others(now time.Time, share Share) {
	e.others = share
	e.othersUntil = now.Add(othersTime)
}

// Dispatched counts prompts that other entries have just dispatched.
func (e *Engine) Dispatched(now time.Time, promptTokens int) {
	if promptTokens > 0 {
		e.addBacklog(call{at: now, tokens: promptTokens})
	}
}

// Own returns what this entry has in flight.
func (e *Engine) Own() Share {
	return Share{Requests: e.inFlight, Tokens: e.reserved}
}

// Paces says whether a prompt may be sent now without holding up the streams
// that run.
func (e *Engine) Paces(now time.Time, work Work) bool {
	if e.learned() {
		e.pace.Follow(e.speed)
	}
	return e.pace.Allows(now, float64(work.PromptTokens-work.CachedTokens))
}

// Reserved returns the memory that all requests in flight are expected to
// need, in tokens.
func (e *Engine) Reserved(now time.Time) int {
	if now.Before(e.othersUntil) {
		return e.reserved + e.others.Tokens
	}
	return int(float64(e.reserved) * e.entries)
}

// Resize sets how many requests the engine batches at once.
func (e *Engine) Resize(slots int) { e.slots = slots }

// Report returns the last report, and false where there is none.
func (e *Engine) Report() (Report, bool) { return e.report, e.reported }

// Started counts an own dispatch.
func (e *Engine) Started(now time.Time, work Work) {
	e.inFlight++
	e.reserved += work.Memory()
	start := call{at: now, tokens: work.PromptTokens - work.CachedTokens}
	e.starts = appendCall(e.starts, start)
	e.addBacklog(start)
}

// Finished counts the end of an own dispatch of some work. Tokens is the length
// of the answer, zero where none was given.
func (e *Engine) Finished(now time.Time, work Work, tokens int) {
	if e.inFlight > 0 {
		e.inFlight--
	}
	e.reserved = max(0, e.reserved-work.Memory())
	e.ends = appendCall(e.ends, call{at: now})
	if tokens > 0 {
		e.answer += answerWeight * (float64(tokens) - e.answer)
	}
}

// Measured takes in by how much a first token came later than predicted; less
// than zero where it came earlier.
func (e *Engine) Measured(late time.Duration) {
	e.bias = max(0, e.bias+biasWeight*late.Seconds())
}

// InFlight returns the number of own dispatches that have not ended.
func (e *Engine) InFlight() int { return e.inFlight }

// Load estimates how many requests run and wait on the upstream.
func (e *Engine) Load(now time.Time) float64 {
	if now.Before(e.othersUntil) {
		return float64(e.inFlight + e.others.Requests)
	}
	if !e.reported {
		return float64(e.inFlight) * e.entries
	}
	since := float64(len(e.starts)-len(e.ends)) * e.entries
	load := float64(e.report.Running+e.report.Waiting) + since
	return max(load, float64(e.inFlight))
}

// Predict estimates the times of a request that is dispatched now.
func (e *Engine) Predict(now time.Time, work Work) Prediction {
	load := e.Load(now)
	prefill, decode := e.rates()
	own := float64(work.PromptTokens - work.CachedTokens)
	seconds := (e.backlogLeft(now) + own) / prefill
	if queued := load + 1 - float64(e.slots); e.slots > 0 && queued > 0 {
		seconds += queued * e.answer / (decode * float64(e.slots))
	}
	return Prediction{
		FirstToken:    inSeconds(seconds + e.bias),
		BetweenTokens: inSeconds(1 / decode),
		Load:          load,
	}
}

// addBacklog counts the prompt of a dispatch, for the other entries too where
// they don't tell of theirs.
func (e *Engine) addBacklog(start call) {
	entries := e.entries
	if start.at.Before(e.othersUntil) {
		entries = 1
	}
	e.backlog = e.backlogLeft(start.at) + float64(start.tokens)*entries
	e.pace.Add(start.at, float64(start.tokens)*entries)
	e.backlogAt = start.at
}

// backlogLeft is what the prefill has not worked off by a time.
func (e *Engine) backlogLeft(now time.Time) float64 {
	prefill, _ := e.rates()
	return max(0, e.backlog-prefill*max(0, now.Sub(e.backlogAt).Seconds()))
}

func (e *Engine) rates() (prefill, decode float64) {
	prefill, decode = defaultPrefillRate, defaultDecodeRate
	if e.report.PrefillTokensPerSecond > 0 {
		prefill = e.report.PrefillTokensPerSecond
	}
	if e.report.DecodeTokensPerSecond > 0 {
		decode = e.report.DecodeTokensPerSecond
	}
	return prefill, decode
}

// learned says whether the speed of the engine's service is known.
func (e *Engine) learned() bool { return e.speed != nil && e.speed.Known() }

func inSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// after keeps the calls later than a time, in place.
func after(calls []call, at time.Time) []call {
	kept := calls[:0]
	for _, c := range calls {
		if c.at.After(at) {
			kept = append(kept, c)
		}
	}
	return kept
}

// appendCall drops the oldest call when the list is full.
func appendCall(calls []call, c call) []call {
	if len(calls) == cap(calls) {
		copy(calls, calls[1:])
		calls = calls[:len(calls)-1]
	}
	return append(calls, c)
}
