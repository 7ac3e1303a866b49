package estimator

import "time"

const (
	// defaultPromptRate is the rate of prompt tokens per second sent to an engine of
	// unknown speed, and promptBurst how many are sent at once. An engine interleaves
	// prefill with the decode steps of its streams, 2,048 prompt tokens in a step of
	// about 90 ms, and an event holds several tokens. Up to this rate and burst, no gap
	// between two events exceeds 250 ms.
	defaultPromptRate = 17000.0
	promptBurst       = 3000.0
	// prefillShare is the rate for an engine of known speed, as a fraction of its
	// prefill rate.
	prefillShare = 0.8
)

// PromptBucket is a leaky bucket of prompt tokens for bursts of long prompts. An engine
// that prefills one prompt after another stalls all its running streams, while a prompt
// that waits briefly delays only itself. The zero value is empty.
type PromptBucket struct {
	level float64
	at    time.Time
	// rate is in prompt tokens per second; zero for defaultPromptRate.
	rate float64
}

// SetSpeed sets the rate for an engine of known speed. It never goes below the rate for
// unknown speed, because engines under constant load look slow.
func (b *PromptBucket) SetSpeed(speed *Speed) {
	b.rate = max(defaultPromptRate, prefillShare*speed.PrefillRate())
}

// Add adds prompt tokens that were sent.
func (b *PromptBucket) Add(now time.Time, tokens float64) {
	b.level = b.remaining(now) + tokens
	if now.After(b.at) {
		b.at = now
	}
}

// Allows reports whether a prompt may be sent now. One longer than the burst is sent
// once the bucket is empty.
func (b *PromptBucket) Allows(now time.Time, tokens float64) bool {
	remaining := b.remaining(now)
	return remaining <= 0 || remaining+tokens <= promptBurst
}

// remaining returns the tokens that have not drained yet.
func (b *PromptBucket) remaining(now time.Time) float64 {
	rate := b.rate
	if rate <= 0 {
		rate = defaultPromptRate
	}
	return max(0, b.level-rate*max(0, now.Sub(b.at).Seconds()))
}
