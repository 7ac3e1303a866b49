package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/allocator"
)

// loadedModels plans repeatedly as time passes, and returns the models for
// which a load or drain began.
func loadedModels(f fleet, plans int) map[string]bool {
	return loadedModelsEvery(f, 500*time.Millisecond, plans)
}

// loadedModelsEvery is loadedModels with a given interval between plans.
func loadedModelsEvery(f fleet, every time.Duration, plans int) map[string]bool {
	models := map[string]bool{}
	for range plans {
		for _, move := range allocator.Plan(f.View) {
			switch move := move.(type) {
			case allocator.Load:
				models[move.Model] = true
			case allocator.Drain:
				models[move.For] = true
			}
		}
		f.Now = f.Now.Add(every)
	}
	return models
}

func TestModelsThatFitNowhereDoNotStarveThoseThatFollow(t *testing.T) {
	f := newFleet("a1", "a2", "a3", "a4", "a5", "a6", "z")
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5", "a6"} {
		f.Models[name].MemoryBytes = 300 * gigabyte
	}
	f.Models["z"].LoadTime = 4 * time.Second
	f.engine("e1")
	f.engine("e2")
	// second copies may not use these store loads
	f.StoreLoads = 2
	assert.Assert(t, loadedModels(f, 20)["z"])
}

func TestAwaitedModelIsNotStarvedByEnginesThatCannotMakeRoom(t *testing.T) {
	f := newFleet("rare", "busy")
	for i := range 40 {
		// the least utilised engines hold last copies of models in use
		last, only := fmt.Sprintf("last-%d", i), fmt.Sprintf("only-%d", i)
		for _, name := range []string{last, only} {
			f.Models[name] = newFleet(name).Models[name]
			f.setDemand(name, 0.01)
		}
		f.engine(fmt.Sprintf("a%02d", i), last, only)
	}
	for i := range 10 {
		f.Models[fmt.Sprintf("with-%d", i)] = newFleet("m").Models["m"]
		f.engine(fmt.Sprintf("z%02d", i), "busy", "rest")
	}
	f.Models["rest"] = newFleet("rest").Models["rest"]
	f.setDemand("rest", 2)
	f.setDemand("busy", 2)
	f.Models["rare"].WaitingSince = now.Add(-3 * time.Second)
	assert.Assert(t, loadedModels(f, 1)["rare"])
}

func TestStoreLoadsGoToTheLongestWaitFirst(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.engine("e1")
	f.engine("e2")
	f.engine("e3")
	f.StoreLoads = 1
	f.Models["a"].WaitingSince = now.Add(-time.Second)
	f.Models["b"].WaitingSince = now.Add(-3 * time.Second)
	f.Models["c"].WaitingSince = now.Add(-2 * time.Second)
	loads := movesOf[allocator.Load](allocator.Plan(f.View))
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Model, "b")
}

func TestAdaptersWithoutRoomGetACopyOnAnIdleEngine(t *testing.T) {
	newFleetWithWaitingAdapter := func() fleet {
		f := newFleet("m", "idle")
		f.engine("e1", "m")
		f.engine("e2", "idle")
		f.engine("e3", "idle").OnDisk["m"] = true
		f.setDemand("m", 0.1)
		f.Models["m"].AdaptersWaitingSince = now.Add(-time.Second)
		return f
	}
	cases := map[string]struct {
		change func(f fleet)
		want   int
	}{
		"a copy is added":             {func(fleet) {}, 1},
		"no request waits":            {func(f fleet) { f.Models["m"].AdaptersWaitingSince = time.Time{} }, 0},
		"a copy is planned":           {func(f fleet) { f.Engines["e2"].Planned = "m" }, 0},
		"a copy has just been loaded": {func(f fleet) { f.Engines["e1"].Copies["m"].Since = now }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleetWithWaitingAdapter()
			c.change(f)
			// only adapterWaitGain adds a copy; no first or second copies are
			// loaded from the store
			f.StoreLoads = 0
			count := 0
			for _, load := range movesOf[allocator.Load](allocator.Plan(f.View)) {
				if load.Model == "m" && load.Rationale.Reason == "adapters wait" {
					count++
				}
			}
			assert.Equal(t, count, c.want)
		})
	}
}

func TestModelsThatFitNowhereDoNotStarveOthersWhateverTheTimeBetweenPlans(t *testing.T) {
	for _, every := range []time.Duration{100, 300, 400, 500, 800, 1000, 2000} {
		t.Run((every * time.Millisecond).String(), func(t *testing.T) {
			var names []string
			for i := range 20 {
				names = append(names, fmt.Sprintf("m%02d", i))
			}
			for _, small := range names {
				f := newFleet(names...)
				for _, name := range names {
					f.Models[name].MemoryBytes = 300 * gigabyte
				}
				f.Models[small].MemoryBytes = newFleet("m").Models["m"].MemoryBytes
				f.Models[small].LoadTime = 4 * time.Second
				f.engine("e1")
				f.engine("e2")
				f.StoreLoads = 2
				assert.Assert(t, loadedModelsEvery(f, every*time.Millisecond, 100)[small], "%s is never loaded", small)
			}
		})
	}
}

func TestOverloadedModelIsNotStarvedByOthersThatCannotBeRelieved(t *testing.T) {
	f := newFleet("z")
	for i := range 10 {
		name := fmt.Sprintf("large-%d", i)
		f.Models[name] = newFleet(name).Models[name]
		f.Models[name].MemoryBytes = 300 * gigabyte
		f.engine("only-"+name, name).MemoryBytes = 300 * gigabyte
		f.setDemand(name, 2)
	}
	f.engine("e1", "z")
	f.engine("e2")
	f.setDemand("z", 1.5)
	assert.Assert(t, loadedModels(f, 1)["z"])
}
