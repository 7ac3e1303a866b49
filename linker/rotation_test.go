package linker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/linker"
)

func TestAddressIsCalledAgainOnceHeard(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := linker.NewRotation()
	r.MarkSilent("a", now, now.Add(time.Second))
	r.MarkHeard("a")
	assert.Equal(t, r.Next("a", []string{"a", "b"}, now), "a")
}

func TestRotation(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		preferred string
		silent    map[string]time.Duration
		want      []string
	}{
		"in turn":                         {want: []string{"a", "b", "c", "a"}},
		"preferred":                       {preferred: "c", want: []string{"c", "c"}},
		"preferred of other addresses":    {preferred: "d", want: []string{"d", "d"}},
		"preferred is silent":             {preferred: "a", silent: map[string]time.Duration{"a": time.Second}, want: []string{"b", "c", "b"}},
		"silence is over":                 {preferred: "a", silent: map[string]time.Duration{"a": 0}, want: []string{"a"}},
		"all silent":                      {preferred: "a", silent: map[string]time.Duration{"a": 3, "b": 1, "c": 2}, want: []string{"b", "b"}},
		"only the preferred one responds": {preferred: "d", silent: map[string]time.Duration{"a": 3, "b": 1, "c": 2}, want: []string{"d"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := linker.NewRotation()
			for address, left := range c.silent {
				r.MarkSilent(address, now, now.Add(left))
			}
			for _, want := range c.want {
				assert.Equal(t, r.Next(c.preferred, []string{"a", "b", "c"}, now), want)
			}
		})
	}
}
