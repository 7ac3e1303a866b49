package estimator

import "time"

const (
	// paceRate is how many prompt tokens a second are sent to an engine whose
	// speed isn't known, and paceBurst how many at once. An engine reads prompts
	// between the tokens of its streams, 2,048 at a step of about 90 ms, and an
	// event holds several tokens: with no more than this, no pause between two
	// events gets longer than 250 ms.
	paceRate  = 17000.0
	paceBurst = 3000.0
	// paceShare is the same in parts of what an engine of known speed reads.
	paceShare = 0.8
)

// Pace is a leaky bucket of prompt tokens. It answers bursts of long prompts:
// an engine that reads one after the other holds up all streams that it runs,
// while a prompt that waits a little holds up only itself. The zero value is
// empty.
type Pace struct {
	level float64
	at    time.Time
	// rate is in prompt tokens a second; zero stands for paceRate.
	rate float64
}

// Follow sets the rate for an engine of a speed: no lower than for an unknown one,
// since engines that always have much to do look slow.
func (p *Pace) Follow(speed *Speed) { p.rate = max(paceRate, paceShare*speed.Prefill()) }

// Add counts prompt tokens that were sent.
func (p *Pace) Add(now time.Time, tokens float64) {
	p.level = p.left(now) + tokens
	if now.After(p.at) {
		p.at = now
	}
}

// Allows says whether a prompt may be sent now. One that is longer than the
// burst is sent once the bucket is empty.
func (p *Pace) Allows(now time.Time, tokens float64) bool {
	left := p.left(now)
	return left <= 0 || left+tokens <= paceBurst
}

// left is what has not drained yet.
func (p *Pace) left(now time.Time) float64 {
	rate := p.rate
	if rate <= 0 {
		rate = paceRate
	}
	return max(0, p.level-rate*max(0, now.Sub(p.at).Seconds()))
}
