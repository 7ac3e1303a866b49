package allocator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/allocator"
)

// newMixedFleet returns two engines of each of two software versions; only those of v2 hold
// the model.
func newMixedFleet() fleet {
	f := newFleet("m", "a", "b", "c")
	for name, held := range map[string][]string{"old-1": {"a", "b"}, "old-2": {"b", "c"}, "new-1": {"m", "a"}, "new-2": {"m", "c"}} {
		f.engine(name, held...).Software = map[string]string{"o": "v1", "n": "v2"}[name[:1]]
	}
	f.setDemand("m", 0.1)
	return f
}

func TestModelIsRestoredForStreamsOfASoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		waiting string
		onDisk  string
		want    []allocator.Load
	}{
		"nobody waits":                 {"", "old-2", nil},
		"an engine has it on disk":     {"v1", "old-2", []allocator.Load{{Engine: "old-2", Model: "m"}}},
		"only from the store":          {"v1", "", nil},
		"an engine of it holds it":     {"v2", "old-2", nil},
		"no engine of it":              {"v3", "old-2", nil},
		"on disk at the other version": {"v3", "new-1", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newMixedFleet()
			f.StoreLoads = 0
			if c.waiting != "" {
				f.Models["m"].SoftwareWaitingSince = map[string]time.Time{c.waiting: now}
			}
			if c.onDisk != "" {
				f.Engines[c.onDisk].OnDisk["m"] = true
			}
			for _, engine := range f.Engines {
				engine.MemoryBytes = 210 * gigabyte // room for a third model
			}
			var got []allocator.Load
			for _, load := range movesOf[allocator.Load](allocator.Plan(f.View)) {
				if load.Model == "m" {
					load.Rationale = allocator.Rationale{}
					got = append(got, load)
				}
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

func TestLastCopyOfAVersionIsNotEvictedWhileItsStreamsWait(t *testing.T) {
	for name, waiting := range map[string]bool{"streams wait": true, "none waits": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet("m", "a", "wanted")
			f.engine("old-1", "m", "a").Software = "v1"
			f.engine("new-1", "m", "a").Software = "v2"
			f.engine("new-2", "m", "a").Software = "v2"
			for _, engine := range []string{"new-1", "new-2"} {
				f.Engines[engine].AcceptsOrders = false
			}
			f.Engines["old-1"].Copies["a"].Since = now // too young to be evicted
			f.Engines["old-1"].OnDisk["wanted"] = true
			f.Models["wanted"].WaitingSince = now.Add(-10 * time.Second)
			if waiting {
				f.Models["m"].SoftwareWaitingSince = map[string]time.Time{"v1": now}
			}
			drains := movesOf[allocator.Drain](allocator.Plan(f.View))
			assert.Equal(t, len(drains), map[bool]int{true: 0, false: 1}[waiting])
		})
	}
}
