package estimator

import "time"

const (
	// defaultPromptRate is how many prompt tokens a second are sent to an engine whose
	// speed isn't known, and paceBurst how many at once. An engine reads prompts
	// between the tokens of its streams, 2,048 at a step of about 90 ms, and an
	// event holds several tokens: with no more than this, no pause between two
	// events gets longer than 250 ms.
	defaultPromptRate = 17000.0
	promptBurst       = 3000.0
	// prefillShare is the same in parts of what an engine of known speed reads.
	prefillShare = 0.8
)

// PromptBucket is a leaky bucket of prompt tokens. It answers bursts of long prompts:
// an engine that reads one after the other holds up all streams that it runs,
// while a prompt that waits a little holds up only itself. The zero value is
// empty.
type PromptBucket struct {
	level float64
	at    time.Time
	// rate is in prompt tokens a second; zero stands for paceRate.
	rate float64
}

// SetSpeed sets the rate for an engine of a speed: no lower than for an unknown one,
// since engines that always have much to do look slow.
func (b *PromptBucket) SetSpeed(speed *Speed) {
	b.rate = max(defaultPromptRate, prefillShare*speed.PrefillRate())
}

// Add counts prompt tokens that were sent.
func (b *PromptBucket) Add(now time.Time, tokens float64) {
	b.level = b.remaining(now) + tokens
	if now.After(b.at) {
		b.at = now
	}
}

// Allows says whether a prompt may be sent now. One that is longer than the
// burst is sent once the bucket is empty.
func (b *PromptBucket) Allows(now time.Time, tokens float64) bool {
	remaining := b.remaining(now)
	return remaining <= 0 || remaining+tokens <= promptBurst
}

// remaining is what has not drained yet.
func (b *PromptBucket) remaining(now time.Time) float64 {
	rate := b.rate
	if rate <= 0 {
		rate = defaultPromptRate
	}
	return max(0, b.level-rate*max(0, now.Sub(b.at).Seconds()))
}
