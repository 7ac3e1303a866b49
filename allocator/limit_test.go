package allocator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/allocator"
)

func TestModelOnARateLimitedEngineGetsAnotherCopy(t *testing.T) {
	cases := map[string]struct {
		capacity float64
		want     int
	}{
		"no limit":   {0, 0},
		"high limit": {1, 0},
		"low limit":  {0.1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet("a", "b")
			f.engine("e0", "a").Capacity = c.capacity
			f.engine("e1", "b").OnDisk["a"] = true
			f.setDemand("a", 0.15)
			f.setDemand("b", 0.1)
			loads := movesOf[allocator.Load](allocator.Plan(f.View))
			count := 0
			for _, load := range loads {
				if load.Model == "a" && load.Rationale.Reason == "demand" {
					assert.Equal(t, load.Engine, "e1")
					count++
				}
			}
			assert.Equal(t, count, c.want)
		})
	}
}
