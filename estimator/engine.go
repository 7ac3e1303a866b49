package estimator

import "time"

// Defaults for an upstream that has not reported a rate.
const (
	// defaultPrefillRate is in prompt tokens per second.
	defaultPrefillRate = defaultPromptRate
	// defaultDecodeRate is in tokens per second for one running request.
	defaultDecodeRate = 40
	// defaultAnswerTokens is the answer length assumed before one is measured.
	defaultAnswerTokens = 128
)

// maxRecentEvents bounds the own starts and ends kept since the last report.
const maxRecentEvents = 64

// biasWeight is the weight of a new measurement in the bias of the prediction.
const biasWeight = 0.1

// answerTokensWeight is the weight of a new answer in the mean answer length.
const answerTokensWeight = 0.05

// RequestSize is the size of one request, in tokens.
type RequestSize struct {
	// PromptTokens is the length of the prompt, and CachedTokens the part of it
	// expected to be in the engine's prefix cache.
	PromptTokens int
	CachedTokens int
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int
	// Speed is how fast engines run the request's model; nil if it was never measured.
	Speed *Speed
}

// KVCacheTokens returns the KV cache space that the request is expected to need, in
// tokens.
func (s RequestSize) KVCacheTokens() int { return s.PromptTokens + s.AnswerTokens }

// Prediction is the expected timing of a request on an engine.
type Prediction struct {
	// FirstToken is the wait from now to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time between two tokens.
	BetweenTokens time.Duration
	// Load is the estimated number of requests running and waiting.
	Load float64
}

type event struct {
	at     time.Time
	tokens int
}

// Engine estimates the load of one upstream. It is not safe for concurrent use and does
// not allocate after New.
type Engine struct {
	report   Report
	reported bool
	slots    int
	// entries is the number of entries that dispatch to the upstream. Without other
	// information they are assumed to behave like this one.
	entries          float64
	starts           []event
	ends             []event
	inFlight         int
	meanAnswerTokens float64
	// backlog is the number of prompt tokens waiting for prefill at backlogAt.
	backlog   float64
	backlogAt time.Time
	// promptBucket limits the rate at which prompts are sent.
	promptBucket PromptBucket
	// peers is the last known load of the other entries, valid until peersUntil.
	peers      EntryLoad
	peersUntil time.Time
	// reservedTokens is the KV cache space that own requests in flight are expected to
	// need, in tokens.
	reservedTokens int
	// bias is by how much the first token is later than predicted, in seconds.
	bias float64
	// speed is that of the model dispatched last; nil if it was never measured.
	speed *Speed
}

// New returns an estimate for an upstream that batches up to slots requests and
// receives dispatches from the given number of entries.
func New(slots, entries int) *Engine {
	return &Engine{
		slots:            slots,
		entries:          float64(max(1, entries)),
		starts:           make([]event, 0, maxRecentEvents),
		ends:             make([]event, 0, maxRecentEvents),
		meanAnswerTokens: defaultAnswerTokens,
	}
}

// Observe records a load report. It returns false for a report that is not newer than
// the last one.
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

// EntryLoad is what one or more entries have in flight at an engine.
type EntryLoad struct {
	Requests int
	// KVCacheTokens is the KV cache space that the requests are expected to need.
	KVCacheTokens int
	// PromptTokens is the number of prompt tokens dispatched since the load was last
	// shared.
	PromptTokens int
}

// peerLoadTTL is how long the load of the other entries stays valid. It spans several
// messages, so that a lost one does not matter.
const peerLoadTTL = 2 * time.Second

// SetPeers sets the load of the other entries. It replaces the assumption that they
// behave like this one.
func (e *Engine) SetPeers(now time.Time, load EntryLoad) {
	e.peers = load
	e.peersUntil = now.Add(peerLoadTTL)
}

// AddPeerPrompts adds prompts that other entries have just dispatched.
func (e *Engine) AddPeerPrompts(now time.Time, promptTokens int) {
	if promptTokens > 0 {
		e.addBacklog(event{at: now, tokens: promptTokens})
	}
}

// OwnLoad returns what this entry has in flight.
func (e *Engine) OwnLoad() EntryLoad {
	return EntryLoad{Requests: e.inFlight, KVCacheTokens: e.reservedTokens}
}

// AllowsPrompt reports whether a prompt may be sent now without stalling running
// streams.
func (e *Engine) AllowsPrompt(now time.Time, size RequestSize) bool {
	if size.Speed.Known() {
		e.promptBucket.SetSpeed(size.Speed)
	}
	return e.promptBucket.Allows(now, float64(size.PromptTokens-size.CachedTokens))
}

// ReservedTokens returns the KV cache space that all requests in flight are expected to
// need, in tokens.
func (e *Engine) ReservedTokens(now time.Time) int {
	if now.Before(e.peersUntil) {
		return e.reservedTokens + e.peers.KVCacheTokens
	}
	return int(float64(e.reservedTokens) * e.entries)
}

// SetSlots sets how many requests the engine batches at once.
func (e *Engine) SetSlots(slots int) { e.slots = slots }

// Report returns the last report, and false if there is none.
func (e *Engine) Report() (Report, bool) { return e.report, e.reported }

// Started records an own dispatch.
func (e *Engine) Started(now time.Time, size RequestSize) {
	if size.Speed.Known() {
		e.speed = size.Speed
	}
	e.inFlight++
	e.reservedTokens += size.KVCacheTokens()
	start := event{at: now, tokens: size.PromptTokens - size.CachedTokens}
	e.starts = appendEvent(e.starts, start)
	e.addBacklog(start)
}

// Finished records the end of an own dispatch. Tokens is the length of the answer, zero
// for none.
func (e *Engine) Finished(now time.Time, size RequestSize, tokens int) {
	if e.inFlight > 0 {
		e.inFlight--
	}
	e.reservedTokens = max(0, e.reservedTokens-size.KVCacheTokens())
	e.ends = appendEvent(e.ends, event{at: now})
	if tokens > 0 {
		e.meanAnswerTokens += answerTokensWeight * (float64(tokens) - e.meanAnswerTokens)
	}
}

// ObserveLateness records by how much a first token was later than predicted; negative
// if it was earlier.
func (e *Engine) ObserveLateness(lateness time.Duration) {
	e.bias = max(0, e.bias+biasWeight*lateness.Seconds())
}

// InFlight returns the number of own dispatches that have not ended.
func (e *Engine) InFlight() int { return e.inFlight }

// Load estimates how many requests are running and waiting on the upstream.
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

// Predict estimates the timing of a request that is dispatched now.
func (e *Engine) Predict(now time.Time, size RequestSize) Prediction {
	load := e.Load(now)
	prefill, decode := e.rates()
	own := float64(size.PromptTokens - size.CachedTokens)
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

// addBacklog adds the prompt of a dispatch, multiplied by the number of entries while
// the others' loads are unknown.
func (e *Engine) addBacklog(start event) {
	entries := e.entries
	if start.at.Before(e.peersUntil) {
		entries = 1
	}
	e.backlog = e.remainingBacklog(start.at) + float64(start.tokens)*entries
	e.promptBucket.Add(start.at, float64(start.tokens)*entries)
	e.backlogAt = start.at
}

// remainingBacklog returns the prompt tokens still waiting for prefill at a time.
func (e *Engine) remainingBacklog(now time.Time) float64 {
	prefill, _ := e.rates()
	return max(0, e.backlog-prefill*max(0, now.Sub(e.backlogAt).Seconds()))
}

func (e *Engine) rates() (prefill, decode float64) {
	prefill, decode = defaultPrefillRate, defaultDecodeRate
	if e.speed.Known() {
		prefill = max(prefill, prefillShare*e.speed.PrefillRate())
	}
	if e.report.PrefillTokensPerSecond > 0 {
		prefill = e.report.PrefillTokensPerSecond
	}
	if e.report.DecodeTokensPerSecond > 0 {
		decode = e.report.DecodeTokensPerSecond
	}
	return prefill, decode
}

func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// eventsAfter keeps the events later than a time, in place.
func eventsAfter(events []event, at time.Time) []event {
	kept := events[:0]
	for _, e := range events {
		if e.at.After(at) {
			kept = append(kept, e)
		}
	}
	return kept
}

// appendEvent drops the oldest event if the list is full.
func appendEvent(events []event, e event) []event {
	if len(events) == cap(events) {
		copy(events, events[1:])
		events = events[:len(events)-1]
	}
	return append(events, e)
}
