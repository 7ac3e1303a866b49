package provisioner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against needless calls to the platform: entries read the list themselves if
// the leader's reading arrives a little after the interval. On a large site this
// caused most of 6,665 calls in a day.
func TestListIntervalFitsTheDrainTime(t *testing.T) {
	const (
		// maxReadingAge is the maximum age of the leader's reading when an entry of a
		// large fleet gets it: the leader reads every 0.6 s and sends every 0.75 s.
		maxReadingAge = 1350 * time.Millisecond
		// readTime is the duration of a slow reading.
		readTime = time.Second
	)
	for name, drain := range map[string]time.Duration{
		"standard site": 3 * time.Second, "large site": 4 * time.Second, "no drain time": 0,
	} {
		t.Run(name, func(t *testing.T) {
			interval := listInterval(drain)
			assert.Assert(t, interval >= minListInterval)
			assert.Assert(t, drain == 0 || interval+readTime < drain)
			if drain >= 4*time.Second {
				// 20% is left for asking another entry, and intervals vary by 10%
				assert.Assert(t, interval*7/10 > maxReadingAge)
			}
		})
	}
}
