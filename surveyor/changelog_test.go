package surveyor

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func newIntChangelog() *Changelog[int] { return NewChangelog(func(a, b int) bool { return a == b }) }

func TestChangelogFollowerConverges(t *testing.T) {
	random := rand.New(rand.NewPCG(15, 1))
	c, want := newIntChangelog(), map[string]int{}
	known, serial := map[string]int{}, uint64(0)
	for range 10_000 {
		name := fmt.Sprint(random.IntN(30))
		switch random.IntN(10) {
		case 0:
			c.Retain(func(key string) bool { return key != name })
			delete(want, name)
		case 1:
			c.Clear()
			clear(want)
		case 2:
			values, newest, removed := c.After(serial)
			if removed {
				clear(known)
				values, newest, _ = c.After(0)
			}
			for _, value := range values {
				known[fmt.Sprint(value%100)] = value
			}
			serial = newest
			assert.DeepEqual(t, known, want)
		default:
			// each value encodes its name
			value := random.IntN(50)*100 + number(name)
			c.Set(name, value)
			want[name] = value
		}
	}
}

func number(name string) int {
	var n int
	_, _ = fmt.Sscan(name, &n)
	return n
}

func TestChangelogCompactionBoundsChanges(t *testing.T) {
	c := newIntChangelog()
	for at := range 1000 {
		c.Set(fmt.Sprint(at%10), at)
		assert.Assert(t, len(c.changes) <= maxChangesPerEntry*len(c.entries))
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(c.entries)), []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"})
}

func TestAfterCostIsIndependentOfStoredValues(t *testing.T) {
	allocations := func(stored int) float64 {
		c := newIntChangelog()
		for at := range stored {
			c.Set(fmt.Sprint(at), at)
		}
		_, before, _ := c.After(0)
		c.Set("0", -1)
		return testing.AllocsPerRun(100, func() { c.After(before) })
	}
	assert.Equal(t, allocations(7400), allocations(100))
}
