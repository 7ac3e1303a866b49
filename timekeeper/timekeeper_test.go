package timekeeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/timekeeper"
)

func TestNowIsMonotonic(t *testing.T) {
	first := timekeeper.Now()
	second := timekeeper.Now()
	assert.Assert(t, !second.Before(first))
	// the result has no monotonic clock reading, which a suspension would stop
	assert.Equal(t, first, first.Round(0))
	assert.Assert(t, time.Since(first) < time.Hour)
}
