package faker

import (
	"sort"
	"sync"
	"time"
)

const (
	// stepInterval is the time between two batch steps.
	stepInterval = time.Millisecond
	// maxStep bounds the elapsed time that one step accounts for.
	maxStep = 100 * time.Millisecond
)

// batch runs requests by continuous batching: up to Slots requests at once,
// which share the prefill rate and each decode at their own rate.
type batch struct {
	settings EngineSettings
	faults   *faults
	wake     chan struct{}
	stopped  chan struct{}

	mu       sync.Mutex
	waiting  []*stream
	running  []*stream
	lastStep time.Time
}

func newBatch(settings EngineSettings, faults *faults) *batch {
	return &batch{
		settings: settings,
		faults:   faults,
		wake:     make(chan struct{}, 1),
		stopped:  make(chan struct{}),
	}
}

// submit queues a stream: higher priorities first, in order of arrival within
// one priority.
func (b *batch) submit(added *stream) {
	b.mu.Lock()
	b.waiting = append(b.waiting, added)
	sort.SliceStable(b.waiting, func(i, j int) bool {
		return b.waiting[i].priority > b.waiting[j].priority
	})
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *batch) stop() { close(b.stopped) }

// loop steps the batch while it has work, and otherwise waits for a submit.
func (b *batch) loop() {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		if b.step(time.Now()) {
			select {
			case <-ticker.C:
			case <-b.stopped:
				return
			}
			continue
		}
		select {
		case <-b.wake:
		case <-b.stopped:
			return
		}
	}
}

// step advances all requests by the time since the last step and reports
// whether any are left.
func (b *batch) step(now time.Time) bool {
	faults := b.faults.get()
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := min(now.Sub(b.lastStep), maxStep).Seconds()
	b.lastStep = now
	if faults.SlowFactor > 1 {
		elapsed /= faults.SlowFactor
	}
	if faults.Frozen {
		elapsed = 0
	}
	b.running = b.dropEnded(b.running, now)
	b.waiting = b.dropEnded(b.waiting, now)
	b.admit()
	if !faults.Frozen {
		b.prefill(elapsed)
		b.decode(elapsed)
	}
	return len(b.running)+len(b.waiting) > 0
}

// dropEnded cancels abandoned streams, releases those that have ended and
// returns the others.
func (b *batch) dropEnded(streams []*stream, now time.Time) []*stream {
	kept := streams[:0]
	for _, each := range streams {
		if each.abandoned(now) {
			each.setState(streamCancelled)
		}
		if each.ended() {
			each.release()
			continue
		}
		kept = append(kept, each)
	}
	return kept
}

// admit moves waiting streams into free slots.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.settings.Slots {
		first := b.waiting[0]
		b.waiting = b.waiting[1:]
		first.setState(streamRunning)
		b.running = append(b.running, first)
	}
}

// prefill spends the elapsed seconds on prompts, first come first served. A
// rate of zero prefills at once.
func (b *batch) prefill(elapsed float64) {
	left := elapsed * b.settings.PrefillTokensPerSecond
	for _, each := range b.running {
		if b.settings.PrefillTokensPerSecond == 0 {
			each.prefillLeft = 0
			continue
		}
		spent := min(left, each.prefillLeft)
		each.prefillLeft -= spent
		left -= spent
	}
}

// decode produces the tokens of the elapsed seconds for each request that has
// been prefilled. A rate of zero produces all tokens at once.
func (b *batch) decode(elapsed float64) {
	for _, each := range b.running {
		if each.prefillLeft > 0 {
			continue
		}
		if b.settings.DecodeTokensPerSecond == 0 {
			each.produce(each.limit)
			continue
		}
		each.credit += elapsed * b.settings.DecodeTokensPerSecond
		if tokens := int(each.credit); tokens > 0 {
			each.credit -= float64(tokens)
			each.produce(tokens)
		}
	}
}

// occupancy counts the batch's requests, and the prompt tokens of those waiting.
type occupancy struct {
	running, waiting, waitingTokens int
}

func (b *batch) occupancy() occupancy {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := occupancy{running: len(b.running), waiting: len(b.waiting)}
	for _, each := range b.waiting {
		counts.waitingTokens += each.promptTokens
	}
	return counts
}
