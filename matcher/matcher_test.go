package matcher_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/matcher"
	"burdocklink/verifier"
)

func configuration(change func(*matcher.Configuration)) *matcher.Configuration {
	c := &matcher.Configuration{
		Version: 3,
		Routes: []matcher.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Timeout: time.Second, Split: singleService("calendar")},
			{Name: "menu", Host: "a.example", Prefix: "/menu/", Timeout: time.Second, Split: singleService("engines")},
			{Name: "deep", Host: "a.example", Prefix: "/menu/cakes/", Timeout: time.Second, Split: singleService("calendar")},
			{Name: "other", Host: "b.example", Prefix: "/menu/", Timeout: time.Second, Split: singleService("calendar")},
		},
		Services: map[string]matcher.Service{"engines": {Name: "engines"}, "calendar": {Name: "calendar"}},
	}
	if change != nil {
		change(c)
	}
	return c
}

func singleService(service string) []matcher.WeightedService {
	return []matcher.WeightedService{{Service: service, Weight: 1}}
}

func TestMatch(t *testing.T) {
	table := matcher.NewTable(configuration(nil))
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":         {"a.example", "/menu/cakes/2f", "deep"},
		"shorter prefix":         {"a.example", "/menu/tarts", "menu"},
		"partial segment":        {"a.example", "/menus/x", "all"},
		"prefix without a slash": {"a.example", "/menu", "all"},
		"prefix itself":          {"a.example", "/menu/", "menu"},
		"host with a port":       {"a.example:8080", "/menu/", "menu"},
		"host in capitals":       {"A.Example", "/menu/", "menu"},
		"other host":             {"b.example", "/menu/cakes/1", "other"},
		"unknown path":           {"b.example", "/x", ""},
		"unknown host":           {"c.example", "/menu/", ""},
		"no path":                {"a.example", "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route := table.Match(c.host, c.path)
			if c.want == "" {
				assert.Assert(t, route == nil)
				return
			}
			assert.Assert(t, route != nil)
			assert.Equal(t, route.Name, c.want)
		})
	}
}

func TestCheck(t *testing.T) {
	cases := map[string]struct {
		change func(*matcher.Configuration)
		valid  bool
	}{
		"valid":                     {nil, true},
		"no version":                {func(c *matcher.Configuration) { c.Version = 0 }, false},
		"unknown service":           {func(c *matcher.Configuration) { c.Routes[1].Split = singleService("nobody") }, false},
		"duplicate host and prefix": {func(c *matcher.Configuration) { c.Routes[1].Prefix = "/" }, false},
		"no weight":                 {func(c *matcher.Configuration) { c.Routes[1].Split[0].Weight = 0 }, false},
		"negative weight": {func(c *matcher.Configuration) {
			c.Routes[1].Split = append(singleService("engines"), matcher.WeightedService{Service: "calendar", Weight: -1})
		}, false},
		"no timeout": {func(c *matcher.Configuration) { c.Routes[1].Timeout = 0 }, false},
		"no routes":  {func(c *matcher.Configuration) { c.Routes = nil }, true},
		"organisations": {func(c *matcher.Configuration) {
			c.Organisations = []matcher.Organisation{
				{Name: "a", Keys: []verifier.Digest{verifier.Sum("1"), verifier.Sum("1")}}, {Name: "b", Keys: []verifier.Digest{verifier.Sum("2")}}, {Name: "c"},
			}
		}, true},
		"shared key": {func(c *matcher.Configuration) {
			c.Organisations = []matcher.Organisation{{Name: "a", Keys: []verifier.Digest{verifier.Sum("1")}}, {Name: "b", Keys: []verifier.Digest{verifier.Sum("1")}}}
		}, false},
		"organisation without a name": {func(c *matcher.Configuration) { c.Organisations = []matcher.Organisation{{}} }, false},
		"two organisations of one name": {func(c *matcher.Configuration) {
			c.Organisations = []matcher.Organisation{{Name: "a"}, {Name: "a"}}
		}, false},
		"negative quota": {func(c *matcher.Configuration) {
			c.Organisations = []matcher.Organisation{{Name: "a", Quota: matcher.Quota{PerSecond: -1}}}
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := configuration(c.change).Check()
			if c.valid {
				assert.NilError(t, err)
				return
			}
			var invalid *matcher.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "got %v", err)
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	route := matcher.Route{Split: []matcher.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.Pick(float64(i)/1000)]++
	}
	assert.Equal(t, counts["a"], 900)
	assert.Equal(t, counts["b"], 100)
}

func TestRepeatable(t *testing.T) {
	cases := map[string]struct {
		route matcher.Route
		want  bool
	}{
		"idempotent":       {matcher.Route{Kind: matcher.Idempotent}, true},
		"non-idempotent":   {matcher.Route{Kind: matcher.NonIdempotent, Resumable: true}, false},
		"stream":           {matcher.Route{Kind: matcher.Streaming}, false},
		"resumable stream": {matcher.Route{Kind: matcher.Streaming, Resumable: true}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.route.Repeatable(), c.want) })
	}
}

func ExampleRoute_EventTimeout() {
	route := matcher.Route{Kind: matcher.Streaming, Target: 6 * time.Second, EventGapTarget: 250 * time.Millisecond}
	fmt.Println(route.EventTimeout())
	// Output: 24s
}

func BenchmarkMatch(b *testing.B) {
	c := configuration(nil)
	for i := range 1000 {
		c.Routes = append(c.Routes, matcher.Route{Host: "a.example", Prefix: fmt.Sprintf("/r%d/", i), Split: singleService("calendar")})
	}
	table := matcher.NewTable(c)
	for b.Loop() {
		table.Match("a.example", "/r500/deep/path/2f")
	}
}

func ExampleQuota_Cost() {
	quota := matcher.Quota{PerSecond: 5000, Burst: 5000, Unit: matcher.Tokens, PlainTokens: 200}
	fmt.Println(quota.Cost(1540, true), quota.Cost(0, false))
	// Output: 1540 200
}

// Guards against keys that keep their owner after they were taken away.
func TestOwnerFollowsTheConfiguration(t *testing.T) {
	keys := []verifier.Digest{verifier.Sum("kept"), verifier.Sum("revoked")}
	before := configuration(func(c *matcher.Configuration) { c.Organisations = []matcher.Organisation{{Name: "a", Keys: keys}} })
	after := configuration(func(c *matcher.Configuration) { c.Organisations = []matcher.Organisation{{Name: "a", Keys: keys[:1]}} })
	assert.Equal(t, matcher.NewTable(before).Owner("revoked").Name, "a")
	assert.Equal(t, matcher.NewTable(after).Owner("kept").Name, "a")
	assert.Assert(t, matcher.NewTable(after).Owner("revoked") == nil)
	assert.Assert(t, matcher.NewTable(after).Owner("") == nil)
}
