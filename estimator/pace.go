package estimator

import "time"

const (
	// paceRate is how many prompt tokens a second are sent to an engine, and
	// paceBurst how many at once. An engine reads prompts between the tokens of
	// its streams, 2,048 at a step of about 90 ms, and an event holds several
	// tokens: with no more than this, no pause between two events gets longer
	// than 250 ms.
	paceRate  = 17000.0
	paceBurst = 3000.0
)

// Pace is a leaky bucket of prompt tokens. It answers bursts of long prompts:
// an engine that reads one after the other holds up all streams that it runs,
// while a prompt that waits a little holds up only itself. The zero value is
// empty.
type Pace struct {
	level float64
	at    time.Time
}

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
	return max(0, p.level-paceRate*max(0, now.Sub(p.at).Seconds()))
}
