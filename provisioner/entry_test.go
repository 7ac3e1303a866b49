package provisioner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Found on the users' bench, large site: 6,665 calls to the platform in a day, most
// for a list of which the leader told a little later than entries waited for it.
func TestListIntervalFitsTheDrainTime(t *testing.T) {
	const (
		// maxReadingAge is how old the leader's reading is at most when an entry of a
		// large fleet hears of it: it reads every 0.6 s and tells every 0.75 s.
		maxReadingAge = 1350 * time.Millisecond
		// readTime is for a reading that takes long.
		readTime = time.Second
	)
	for name, drain := range map[string]time.Duration{
		"of the standard sites": 3 * time.Second, "of the large sites": 4 * time.Second, "not named": 0,
	} {
		t.Run(name, func(t *testing.T) {
			interval := listInterval(drain)
			assert.Assert(t, interval >= minListInterval)
			assert.Assert(t, drain == 0 || interval+readTime < drain)
			if drain >= 4*time.Second {
				// a fifth is left for asking another entry, and readings vary by a tenth
				assert.Assert(t, interval*7/10 > maxReadingAge)
			}
		})
	}
}
