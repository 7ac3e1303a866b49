package allocator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/allocator"
)

func TestAnEngineThatLimitsItsRequestsIsRelieved(t *testing.T) {
	cases := map[string]struct {
		capacity float64
		want     int
	}{
		"no limit":   {0, 0},
		"wide limit": {1, 0},
		"low limit":  {0.1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet("a", "b")
			f.engine("e0", "a").Capacity = c.capacity
			f.engine("e1", "b").OnDisk["a"] = true
			f.busy("a", 0.15)
			f.busy("b", 0.1)
			loads := ofType[allocator.Load](allocator.Plan(f.View))
			of := 0
			for _, one := range loads {
				if one.Model == "a" && one.Why.Reason == "demand" {
					assert.Equal(t, one.Engine, "e1")
					of++
				}
			}
			assert.Equal(t, of, c.want)
		})
	}
}
