// Package emulator simulates an engine with continuous batching: prefill and
// decode share each step, prefixes are cached in limited memory and queued jobs
// are ordered by priority. It has no clock: the caller supplies the time and
// advances it step by step.
package emulator

import (
	"slices"
	"time"
)

// Settings configure an engine.
type Settings struct {
	Name        string
	Incarnation string
	Slots       int
	MemoryBytes int64
	// PrefillTokensPerSecond is shared by all prompts in prefill.
	PrefillTokensPerSecond float64
	// StepBase is the fixed part of the duration of a decode step, to which
	// each running request adds StepPerRequest.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// LoadingFactor multiplies the duration of each step while an order is being
	// executed; values up to one have no effect.
	LoadingFactor float64
}

// maxPrefillChunk limits the prompt tokens of one step.
const maxPrefillChunk = 1024

// Job is a request for Model, a model or an adapter of BaseModel.
type Job struct {
	ID           uint64
	Model        string
	BaseModel    string
	Priority     int
	PromptTokens int
	AnswerTokens int
	// Prefix identifies the first PrefixTokens of the prompt; zero for none.
	Prefix       uint64
	PrefixTokens int
}

// Event reports the first or last token of a job.
type Event struct {
	ID uint64
	// First is set on the first token and Finished on the last one, which may
	// be the same.
	First    bool
	Finished bool
}

type run struct {
	job         Job
	prefillLeft int
	decoded     int
}

// Engine is an emulated engine. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	waiting  []Job
	running  []*run
	cache    prefixCache
	holds    map[string]int64
	pending  *execution
	// stepEnd is the end of the current step, zero while idle.
	stepEnd     time.Time
	stepPrefill int
	lastStep    time.Duration
	sequence    uint64
	lastOrder   uint64
}

// New returns an idle engine that holds no models.
func New(settings Settings) *Engine {
	return &Engine{
		settings: settings,
		cache:    prefixCache{limit: settings.CacheTokens},
		holds:    map[string]int64{},
	}
}

// Submit queues a job by priority. It returns false, and drops the job, if the
// engine does not hold the job's model.
func (e *Engine) Submit(now time.Time, job Job) bool {
	if job.Model != "" && !e.Holds(job.Model) {
		return false
	}
	at, _ := slices.BinarySearchFunc(e.waiting, job, func(a, b Job) int {
		if a.Priority < b.Priority {
			return 1
		}
		return -1
	})
	e.waiting = slices.Insert(e.waiting, at, job)
	if e.stepEnd.IsZero() {
		e.begin(now)
	}
	return true
}

// Cancel drops a waiting or running job.
func (e *Engine) Cancel(id uint64) {
	e.waiting = slices.DeleteFunc(e.waiting, func(j Job) bool { return j.ID == id })
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.job.ID == id })
}

// Next returns the end of the current step, zero while idle.
func (e *Engine) Next() time.Time { return e.stepEnd }

// Step ends the current step, returns its events and begins the next one.
func (e *Engine) Step(now time.Time) []Event {
	var events []Event
	left := e.stepPrefill
	kept := e.running[:0]
	for _, r := range e.running {
		event, ended := r.advance(&left)
		if event.First || event.Finished {
			events = append(events, event)
		}
		if !ended {
			kept = append(kept, r)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.begin(now)
	return events
}

// advance prefills from the tokens left in the step and, once the prompt is
// done, decodes one token. It reports whether the job has finished.
func (r *run) advance(left *int) (Event, bool) {
	event := Event{ID: r.job.ID}
	if r.prefillLeft > 0 {
		spent := min(r.prefillLeft, *left)
		r.prefillLeft -= spent
		*left -= spent
		if r.prefillLeft > 0 {
			return event, false
		}
	}
	r.decoded++
	event.First = r.decoded == 1
	event.Finished = r.decoded >= r.job.AnswerTokens
	return event, event.Finished
}

// begin moves waiting jobs into free slots and starts a step if any job runs.
func (e *Engine) begin(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		job := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		prefill := max(1, job.PromptTokens-e.cache.access(job.Prefix, job.PrefixTokens))
		e.running = append(e.running, &run{job: job, prefillLeft: prefill})
	}
	if len(e.running) == 0 {
		e.stepEnd = time.Time{}
		return
	}
	e.stepPrefill = 0
	for _, r := range e.running {
		e.stepPrefill += r.prefillLeft
	}
	e.stepPrefill = min(e.stepPrefill, maxPrefillChunk)
	e.lastStep = e.stepTime()
	e.stepEnd = now.Add(e.lastStep)
}

func (e *Engine) stepTime() time.Duration {
	step := e.settings.StepBase + time.Duration(len(e.running))*e.settings.StepPerRequest
	if e.settings.PrefillTokensPerSecond > 0 {
		step += time.Duration(float64(e.stepPrefill) / e.settings.PrefillTokensPerSecond * float64(time.Second))
	}
	if e.pending != nil && e.settings.LoadingFactor > 1 {
		step = time.Duration(float64(step) * e.settings.LoadingFactor)
	}
	return step
}

// JobsUsing returns the number of running and waiting jobs of a model or adapter.
// Jobs of an adapter count for its base model, too.
func (e *Engine) JobsUsing(name string) int {
	count := 0
	for _, r := range e.running {
		if r.job.Model == name || r.job.BaseModel == name {
			count++
		}
	}
	for _, j := range e.waiting {
		if j.Model == name || j.BaseModel == name {
			count++
		}
	}
	return count
}
