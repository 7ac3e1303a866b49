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

// maxRecentEvents bounds how many own dispatches and ends are remembered after
// the last report was taken.
const maxRecentEvents = 64

// biasWeight is the share of a new measurement in the bias of the prediction.
const biasWeight = 0.1

// answerTokensWeight is the share of a new answer in the mean answer length.
const answerTokensWeight = 0.05

// Work is one request as the estimator sees it.
type Work struct {
	// PromptTokens is the prompt's length, CachedTokens the part of it that
	// the engine is believed to hold in its prefix cache.
	PromptTokens int
	CachedTokens int
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int
}

// KVCacheTokens is what the request is expected to need, in tokens.
func (w Work) KVCacheTokens() int { return w.PromptTokens + w.AnswerTokens }

// Prediction is how long a request is expected to take on an engine.
type Prediction struct {
	// FirstToken is the wait from now to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean gap between two tokens.
	BetweenTokens time.Duration
	// Load is the estimated number of requests running and waiting.
	Load float64
}

type event struct {
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
	entries          float64
	starts           []event
	ends             []event
	inFlight         int
	meanAnswerTokens float64
	// backlog is the prompt tokens that wait for prefill at a time.
	backlog   float64
	backlogAt time.Time
	// promptBucket bounds how fast prompts are sent.
	promptBucket PromptBucket
	// peers is what the other entries have in flight, as told last; it counts
	// until othersUntil.
	peers      EntryLoad
	peersUntil time.Time
	// reservedTokens is the memory that own dispatches in flight are expected to
	// need, in tokens.
	reservedTokens int
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
		slots:            slots,
		entries:          float64(max(1, entries)),
		starts:           make([]event, 0, maxRecentEvents),
		ends:             make([]event, 0, maxRecentEvents),
		meanAnswerTokens: defaultAnswerTokens,
	}
}

// SetSpeed has the pace of prompts follow what is learned of the engines of a service.
// Predictions don't: with them more requests failed.
func (e *Engine) SetSpeed(speed *Speed) { e.speed = speed }

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
	e.starts = eventsAfter(e.starts, report.Taken)
	e.ends = eventsAfter(e.ends, report.Taken)
	e.backlog, e.backlogAt = float64(report.WaitingTokens), report.Taken
	for _, start := range e.starts {
		e.addBacklog(start)
	}
	return true
}

// EntryLoad is what one entry, or several together, have in flight at an engine.
type EntryLoad struct {
	Requests int
	// KVCacheTokens is the memory that the requests are expected to need.
	KVCacheTokens int
	// PromptTokens were dispatched since it was told before.
	PromptTokens int
}

// peerLoadTTL is how long the word of the other entries counts. It spans a few
// tellings, so that a lost one changes nothing.
const peerLoadTTL = 2 * time.Second

// SetPeers takes in what the other entries have in flight. It takes the place of
// the guess that they do what this one does.
func (e *Engine) SetPeers(now time.Time, share EntryLoad) {
	e.peers = share
	e.peersUntil = now.Add(peerLoadTTL)
}

// AddPeerPrompts counts prompts that other entries have just dispatched.
func (e *Engine) AddPeerPrompts(now time.Time, promptTokens int) {
	if promptTokens > 0 {
		e.addBacklog(event{at: now, tokens: promptTokens})
	}
}

// OwnLoad returns what this entry has in flight.
func (e *Engine) OwnLoad() EntryLoad {
	return EntryLoad{Requests: e.inFlight, KVCacheTokens: e.reservedTokens}
}

// AllowsPrompt says whether a prompt may be sent now without holding up the streams
// that run.
func (e *Engine) AllowsPrompt(now time.Time, work Work) bool {
	if e.speedKnown() {
		e.promptBucket.SetSpeed(e.speed)
	}
	return e.promptBucket.Allows(now, float64(work.PromptTokens-work.CachedTokens))
}

// ReservedTokens returns the memory that all requests in flight are expected to
// need, in tokens.
func (e *Engine) ReservedTokens(now time.Time) int {
	if now.Before(e.peersUntil) {
		return e.reservedTokens + e.peers.KVCacheTokens
	}
	return int(float64(e.reservedTokens) * e.entries)
}

// SetSlots sets how many requests the engine batches at once.
func (e *Engine) SetSlots(slots int) { e.slots = slots }

// Report returns the last report, and false where there is none.
func (e *Engine) Report() (Report, bool) { return e.report, e.reported }

// Started counts an own dispatch.
func (e *Engine) Started(now time.Time, work Work) {
	e.inFlight++
	e.reservedTokens += work.KVCacheTokens()
	start := event{at: now, tokens: work.PromptTokens - work.CachedTokens}
	e.starts = appendEvent(e.starts, start)
	e.addBacklog(start)
}

// Finished counts the end of an own dispatch of some work. Tokens is the length
// of the answer, zero where none was given.
func (e *Engine) Finished(now time.Time, work Work, tokens int) {
	if e.inFlight > 0 {
		e.inFlight--
	}
	e.reservedTokens = max(0, e.reservedTokens-work.KVCacheTokens())
	e.ends = appendEvent(e.ends, event{at: now})
	if tokens > 0 {
		e.meanAnswerTokens += answerTokensWeight * (float64(tokens) - e.meanAnswerTokens)
	}
}

// ObserveLateness takes in by how much a first token came later than predicted; less
// than zero where it came earlier.
func (e *Engine) ObserveLateness(lateness time.Duration) {
	e.bias = max(0, e.bias+biasWeight*lateness.Seconds())
}

// InFlight returns the number of own dispatches that have not ended.
func (e *Engine) InFlight() int { return e.inFlight }

// Load estimates how many requests run and wait on the upstream.
func (e *Engine) Load(now time.Time) float64 {
	if now.Before(e.peersUntil) {
		return float64(e.inFlight + e.peers.Requests)
	}
	if !e.reported {
		return float64(e.inFlight) * e.entries
	}
	sinceReport := float64(len(e.starts)-len(e.ends)) * e.entries
	load := float64(e.report.Running+e.report.Waiting) + sinceReport
	return max(load, float64(e.inFlight))
}

// Predict estimates the times of a request that is dispatched now.
func (e *Engine) Predict(now time.Time, work Work) Prediction {
	load := e.Load(now)
	prefill, decode := e.rates()
	own := float64(work.PromptTokens - work.CachedTokens)
	seconds := (e.remainingBacklog(now) + own) / prefill
	if queued := load + 1 - float64(e.slots); e.slots > 0 && queued > 0 {
		seconds += queued * e.meanAnswerTokens / (decode * float64(e.slots))
	}
	return Prediction{
		FirstToken:    durationOf(seconds + e.bias),
		BetweenTokens: durationOf(1 / decode),
		Load:          load,
	}
}

// addBacklog counts the prompt of a dispatch, for the other entries too where
// they don't tell of theirs.
func (e *Engine) addBacklog(start event) {
	entries := e.entries
	if start.at.Before(e.peersUntil) {
		entries = 1
	}
	e.backlog = e.remainingBacklog(start.at) + float64(start.tokens)*entries
	e.promptBucket.Add(start.at, float64(start.tokens)*entries)
	e.backlogAt = start.at
}

// remainingBacklog is what the prefill has not worked off by a time.
func (e *Engine) remainingBacklog(now time.Time) float64 {
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

// speedKnown says whether the speed of the engine's service is known.
func (e *Engine) speedKnown() bool { return e.speed != nil && e.speed.Known() }

func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// eventsAfter keeps the calls later than a time, in place.
func eventsAfter(events []event, at time.Time) []event {
	kept := events[:0]
	for _, e := range events {
		if e.at.After(at) {
			kept = append(kept, e)
		}
	}
	return kept
}

// appendEvent drops the oldest call when the list is full.
func appendEvent(events []event, e event) []event {
	if len(events) == cap(events) {
		copy(events, events[1:])
		events = events[:len(events)-1]
	}
	return append(events, e)
}
