package quarantiner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/quarantiner"
)

// start is an arbitrary time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// crash returns a crash at start; later returns one a second later.
func crash(upstream string, parts ...string) quarantiner.Crash {
	return quarantiner.Crash{Upstream: upstream, Parts: parts, At: start}
}

func later(upstream string, parts ...string) quarantiner.Crash {
	return quarantiner.Crash{Upstream: upstream, Parts: parts, At: start.Add(time.Second)}
}

// ofParts returns the subject of a request that is known by its prompt alone.
func ofParts(parts ...string) quarantiner.Subject { return quarantiner.Subject{Parts: parts} }

// probing returns a function that reports whether this entry probes.
func probing(yes bool) func([]string) bool { return func([]string) bool { return yes } }

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		crashes []quarantiner.Crash
		// answered are the parts of answers after the crashes.
		answered [][]string
		parts    []string
		probing  bool
		after    time.Duration
		want     quarantiner.Verdict
	}{
		"no crash": {
			parts: []string{"a", "b"},
			want:  quarantiner.Allow{},
		},
		"other parts": {
			crashes: []quarantiner.Crash{crash("u1", "a", "d"), later("u2", "a", "d")},
			parts:   []string{"b", "c"},
			want:    quarantiner.Allow{},
		},
		"one crash may have another cause": {
			crashes: []quarantiner.Crash{crash("u1", "a", "d")},
			parts:   []string{"a", "d"},
			want:    quarantiner.Trial{Suspects: []string{"a", "d"}},
		},
		"the same crash twice": {
			crashes: []quarantiner.Crash{crash("u1", "a", "d"), crash("u1", "d", "a")},
			parts:   []string{"a", "d"},
			want:    quarantiner.Trial{Suspects: []string{"a", "d"}},
		},
		"two requests at one crash": {
			crashes: []quarantiner.Crash{crash("u1", "a", "d"), crash("u1", "d", "b")},
			parts:   []string{"a", "b", "d"},
			want:    quarantiner.Trial{Suspects: []string{"a", "d", "b"}},
		},
		"two crashes": {
			crashes: []quarantiner.Crash{crash("u1", "a", "d"), later("u2", "b", "d")},
			parts:   []string{"a", "b", "d"},
			want:    quarantiner.Refuse{Suspects: []string{"a", "d", "b"}, RetryAt: start.Add(5*time.Minute + time.Second)},
		},
		"two upstreams end at the same moment": {
			crashes: []quarantiner.Crash{crash("u1", "d"), crash("u2", "d")},
			parts:   []string{"d"},
			want:    quarantiner.Trial{Suspects: []string{"d"}},
		},
		"one end is observed at two times": {
			crashes: []quarantiner.Crash{crash("u1", "d"), later("u1", "d", "b")},
			parts:   []string{"b", "d"},
			want:    quarantiner.Trial{Suspects: []string{"d", "b"}},
		},
		"sound request that shares one of two suspects": {
			crashes: []quarantiner.Crash{crash("u1", "a", "d"), later("u2", "a", "d")},
			parts:   []string{"a", "x"},
			want:    quarantiner.Trial{Suspects: []string{"a"}},
		},
		"sound request after its part was answered": {
			crashes:  []quarantiner.Crash{crash("u1", "a", "d"), later("u2", "a", "d")},
			answered: [][]string{{"a", "x"}},
			parts:    []string{"a", "y"},
			want:     quarantiner.Allow{},
		},
		"cause alone after the other part was answered": {
			crashes:  []quarantiner.Crash{crash("u1", "a", "d"), later("u2", "b", "d")},
			answered: [][]string{{"a"}, {"b"}},
			parts:    []string{"d"},
			want:     quarantiner.Refuse{Suspects: []string{"d"}, RetryAt: start.Add(5*time.Minute + time.Second)},
		},
		"all parts answered": {
			crashes:  []quarantiner.Crash{crash("u1", "a", "d"), later("u2", "a", "d")},
			answered: [][]string{{"a", "d"}},
			parts:    []string{"a", "d"},
			want:     quarantiner.Allow{},
		},
		"probe is not due": {
			crashes: []quarantiner.Crash{crash("u1", "d"), later("u2", "d")},
			parts:   []string{"d"}, probing: true, after: 5 * time.Minute,
			want: quarantiner.Refuse{Suspects: []string{"d"}, RetryAt: start.Add(5*time.Minute + time.Second)},
		},
		"probe of the probing entry": {
			crashes: []quarantiner.Crash{crash("u1", "d"), later("u2", "d")},
			parts:   []string{"d"}, probing: true, after: 5*time.Minute + time.Second,
			want: quarantiner.Trial{Suspects: []string{"d"}},
		},
		"probe of another entry": {
			crashes: []quarantiner.Crash{crash("u1", "d"), later("u2", "d")},
			parts:   []string{"d"}, after: 5*time.Minute + time.Second,
			want: quarantiner.Refuse{Suspects: []string{"d"}, RetryAt: start.Add(5*time.Minute + time.Second)},
		},
		"expired": {
			crashes: []quarantiner.Crash{crash("u1", "d"), later("u2", "d")},
			parts:   []string{"d"}, after: 10*time.Minute + time.Second,
			want: quarantiner.Allow{},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := quarantiner.NewTable()
			for _, crash := range c.crashes {
				table.Merge(crash, start)
			}
			for _, parts := range c.answered {
				table.Answered(ofParts(parts...), start.Add(time.Millisecond))
			}
			assert.DeepEqual(t, table.Decide(ofParts(c.parts...), probing(c.probing), start.Add(c.after)), c.want)
		})
	}
}

func TestRecentAnswerShowsThatPartIsHarmless(t *testing.T) {
	cases := map[string]struct {
		before time.Duration
		want   quarantiner.Verdict
	}{
		"just before the crash": {time.Millisecond, quarantiner.Allow{}},
		"long before the crash": {3 * time.Second, quarantiner.Trial{Suspects: []string{"a"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := quarantiner.NewTable()
			table.Answered(ofParts("a"), start.Add(-c.before))
			table.Merge(crash("u1", "a", "d"), start)
			assert.DeepEqual(t, table.Decide(ofParts("a", "x"), probing(false), start), c.want)
		})
	}
}

func TestSuspectsAreTriedOneAtATime(t *testing.T) {
	table := quarantiner.NewTable()
	table.Merge(crash("u1", "a", "d"), start)
	first := table.Decide(ofParts("a", "d"), probing(false), start).(quarantiner.Trial)
	assert.DeepEqual(t, table.Decide(ofParts("d"), probing(false), start), quarantiner.Wait{})
	assert.DeepEqual(t, table.Decide(ofParts("a"), probing(false), start), quarantiner.Wait{})
	assert.DeepEqual(t, table.Decide(ofParts("x"), probing(false), start), quarantiner.Allow{})
	table.EndTrial(first)
	assert.DeepEqual(t, table.Decide(ofParts("d"), probing(false), start), quarantiner.Trial{Suspects: []string{"d"}})
}

func TestRequestThatWasAllowedIsNotSentAfterNewCrash(t *testing.T) {
	table := quarantiner.NewTable()
	assert.Assert(t, table.Permits(ofParts("d"), quarantiner.Trial{}, start))
	table.Merge(crash("u1", "d"), start)
	assert.Assert(t, !table.Permits(ofParts("d"), quarantiner.Trial{}, start))
	trial := table.Decide(ofParts("d"), probing(false), start).(quarantiner.Trial)
	assert.Assert(t, table.Permits(ofParts("d"), trial, start))
	table.Merge(later("u2", "d"), start.Add(time.Second))
	assert.Assert(t, !table.Permits(ofParts("d"), trial, start.Add(time.Second)))
}

func TestCrashOfProbeExtendsTheQuarantine(t *testing.T) {
	table := quarantiner.NewTable()
	table.Merge(crash("u1", "d"), start)
	table.Merge(later("u2", "d"), start.Add(time.Second))
	probed := start.Add(9 * time.Minute)
	table.Merge(quarantiner.Crash{Upstream: "u3", Parts: []string{"d"}, At: probed}, probed)
	for _, after := range []time.Duration{9 * time.Minute, 12 * time.Minute, 18 * time.Minute} {
		_, refused := table.Decide(ofParts("d"), probing(false), start.Add(after)).(quarantiner.Refuse)
		assert.Assert(t, refused, "after %v", after)
	}
	assert.DeepEqual(t, table.Decide(ofParts("d"), probing(false), probed.Add(10*time.Minute)), quarantiner.Allow{})
}

func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	observations := []quarantiner.Crash{
		crash("u1", "a", "d"),
		{Upstream: "u1", Parts: []string{"d", "a"}, Harmless: []string{"a"}, At: start.Add(time.Second)},
		later("u2", "b", "d"),
		{Upstream: "u2", Parts: []string{"b", "d"}, Harmless: []string{"b"}, At: start.Add(2 * time.Second)},
	}
	orders := map[string][]int{
		"in order":  {0, 1, 2, 3},
		"reversed":  {3, 2, 1, 0},
		"repeated":  {1, 1, 0, 3, 2, 3, 0},
		"only last": {1, 3},
	}
	for name, order := range orders {
		t.Run(name, func(t *testing.T) {
			table := quarantiner.NewTable()
			for _, i := range order {
				table.Merge(observations[i], start.Add(2*time.Second))
			}
			assert.DeepEqual(t, table.Decide(ofParts("a", "b"), probing(false), start.Add(2*time.Second)), quarantiner.Allow{})
			_, refused := table.Decide(ofParts("d"), probing(false), start.Add(time.Second)).(quarantiner.Refuse)
			assert.Assert(t, refused)
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	table := quarantiner.NewTable()
	for i := range 1000 {
		name := string(rune('a'+i%26)) + time.Duration(i).String()
		table.Merge(crash(name, name), start)
		table.Answered(ofParts("answered "+name), start)
	}
	assert.Equal(t, len(table.Crashes(start)), 128)
	table.Merge(crash("u", string(make([]byte, 1000)), "", "\xff"), start)
	assert.Equal(t, len(table.Crashes(start)), 128)
}
