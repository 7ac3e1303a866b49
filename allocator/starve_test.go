package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/allocator"
)

// firstLoadsOf plans again and again, as time passes, and returns for which
// models something was done.
func firstLoadsOf(f fleet, plans int) map[string]bool {
	done := map[string]bool{}
	for range plans {
		for _, move := range allocator.Plan(f.View) {
			switch move := move.(type) {
			case allocator.Load:
				done[move.Model] = true
			case allocator.Drop:
				done[move.For] = true
			}
		}
		f.Now = f.Now.Add(500 * time.Millisecond)
	}
	return done
}

func TestModelsThatFitNowhereDoNotStarveThoseThatFollow(t *testing.T) {
	f := newFleet("a1", "a2", "a3", "a4", "a5", "a6", "z")
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5", "a6"} {
		f.Models[name].MemoryBytes = 300 * gigabyte
	}
	f.Models["z"].LoadTime = 4 * time.Second
	f.engine("e1")
	f.engine("e2")
	// what is left to second copies does not help
	f.StoreLoads = 2
	assert.Assert(t, firstLoadsOf(f, 20)["z"])
}

func TestAWantedModelIsNotStarvedByEnginesThatCannotMakeRoom(t *testing.T) {
	f := newFleet("rare", "busy")
	for at := range 40 {
		// engines with the least to do hold last copies that are asked for
		one, other := fmt.Sprintf("last-%d", at), fmt.Sprintf("only-%d", at)
		for _, name := range []string{one, other} {
			f.Models[name] = newFleet(name).Models[name]
			f.busy(name, 0.01)
		}
		f.engine(fmt.Sprintf("a%02d", at), one, other)
	}
	for at := range 10 {
		f.Models[fmt.Sprintf("with-%d", at)] = newFleet("m").Models["m"]
		f.engine(fmt.Sprintf("z%02d", at), "busy", "rest")
	}
	f.Models["rest"] = newFleet("rest").Models["rest"]
	f.busy("rest", 2)
	f.busy("busy", 2)
	f.Models["rare"].WantedSince = now.Add(-3 * time.Second)
	assert.Assert(t, firstLoadsOf(f, 1)["rare"])
}

func TestTheStoreServesWhoHasWaitedLongest(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.engine("e1")
	f.engine("e2")
	f.engine("e3")
	f.StoreLoads = 1
	f.Models["a"].WantedSince = now.Add(-time.Second)
	f.Models["b"].WantedSince = now.Add(-3 * time.Second)
	f.Models["c"].WantedSince = now.Add(-2 * time.Second)
	loads := ofType[allocator.Load](allocator.Plan(f.View))
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Model, "b")
}

func TestAdaptersThatFindNoPlaceDoNotStarveBesideAnIdleEngine(t *testing.T) {
	crowded := func() fleet {
		f := newFleet("m", "idle")
		f.engine("e1", "m")
		f.engine("e2", "idle")
		f.engine("e3", "idle").OnDisk["m"] = true
		f.busy("m", 0.1)
		f.Models["m"].CrowdedSince = now.Add(-time.Second)
		return f
	}
	cases := map[string]struct {
		change func(f fleet)
		want   int
	}{
		"a copy is added":          {func(fleet) {}, 1},
		"not where nobody waits":   {func(f fleet) { f.Models["m"].CrowdedSince = time.Time{} }, 0},
		"not while one comes":      {func(f fleet) { f.Engines["e2"].Intended = "m" }, 0},
		"not right after one came": {func(f fleet) { f.Engines["e1"].Copies["m"].Since = now }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := crowded()
			c.change(f)
			// nothing is loaded for its own sake
			f.StoreLoads = 0
			count := 0
			for _, load := range ofType[allocator.Load](allocator.Plan(f.View)) {
				if load.Model == "m" && load.Why.Reason == "adapters wait" {
					count++
				}
			}
			assert.Equal(t, count, c.want)
		})
	}
}
