package surveyor

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func newNumbers() *Changelog[int] { return NewChangelog(func(a, b int) bool { return a == b }) }

func TestAFollowerOfAChangelogKnowsAllOfIt(t *testing.T) {
	draw := rand.New(rand.NewPCG(15, 1))
	c, truth := newNumbers(), map[string]int{}
	known, serial := map[string]int{}, uint64(0)
	for range 10_000 {
		name := fmt.Sprint(draw.IntN(30))
		switch draw.IntN(10) {
		case 0:
			c.Retain(func(one string) bool { return one != name })
			delete(truth, name)
		case 1:
			c.Clear()
			clear(truth)
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
			assert.DeepEqual(t, known, truth)
		default:
			// a value tells its name
			value := draw.IntN(50)*100 + number(name)
			c.Set(name, value)
			truth[name] = value
		}
	}
}

func number(name string) int {
	var n int
	_, _ = fmt.Sscan(name, &n)
	return n
}

func TestAChangelogKeepsNoMoreChangesThanTwiceItsValues(t *testing.T) {
	c := newNumbers()
	for at := range 1000 {
		c.Set(fmt.Sprint(at%10), at)
		assert.Assert(t, len(c.changes) <= mostStale*len(c.entries))
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(c.entries)), []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"})
}

func TestNewsOfOneValueDoNotCostAllThatAreKept(t *testing.T) {
	allocations := func(kept int) float64 {
		c := newNumbers()
		for at := range kept {
			c.Set(fmt.Sprint(at), at)
		}
		_, before, _ := c.After(0)
		c.Set("0", -1)
		return testing.AllocsPerRun(100, func() { c.After(before) })
	}
	assert.Equal(t, allocations(7400), allocations(100))
}
