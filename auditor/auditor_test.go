package auditor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/auditor"
	"burdocklink/matcher"
	"burdocklink/verifier"
)

func split(service string) []matcher.WeightedService {
	return []matcher.WeightedService{{Service: service, Weight: 1}}
}

// sound returns a configuration without findings.
func sound() *matcher.Configuration {
	return &matcher.Configuration{
		Version: 7,
		Routes: []matcher.Route{
			{Name: "draft", Host: "a.example", Prefix: "/draft/", Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2, Timeout: 15 * time.Second, Target: 500 * time.Millisecond, Split: split("engines")},
			{Name: "later", Host: "a.example", Prefix: "/later/", Kind: matcher.Streaming, MaxAttempts: 1, Timeout: 25 * time.Second, Target: 5 * time.Second, Rank: 2, Split: split("engines")},
			{Name: "book", Host: "a.example", Prefix: "/book/", Kind: matcher.NonIdempotent, MaxAttempts: 1, Timeout: time.Second, Target: 150 * time.Millisecond, Split: split("calendar")},
		},
		Services: map[string]matcher.Service{
			"engines":  {Name: "engines", Engine: &matcher.Engine{MemoryBytes: 200, AdapterSlots: 8, Models: map[string]matcher.Model{"m": {Name: "m", MemoryBytes: 70, Adapters: 3}}}},
			"calendar": {Name: "calendar"},
		},
		Organisations: []matcher.Organisation{{
			Name: "acme", Keys: []verifier.Digest{verifier.Sum("k1")},
			Quota: matcher.Quota{PerSecond: 5000, Burst: 5000, Unit: matcher.Tokens, PlainTokens: 200},
		}},
		Limits: matcher.Limits{HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second},
	}
}

func ExampleAudit() {
	configuration := sound()
	configuration.Routes[0].Prefix = "/draft"
	for _, finding := range auditor.Audit(configuration, nil) {
		fmt.Printf("%s: %s: %s\n", finding.Severity, finding.Place, finding.Text)
	}
	// Output: warning: route draft: never matches: the prefix "/draft" doesn't begin and end with a slash
}

// Guards against mistakes that the system accepts without a word, and against findings about
// sound configurations.
func TestAuditFindsMistakes(t *testing.T) {
	cases := map[string]struct {
		change func(*matcher.Configuration)
		want   string
	}{
		"sound":                     {func(*matcher.Configuration) {}, ""},
		"unknown service":           {func(c *matcher.Configuration) { c.Routes[0].Split = split("nobody") }, "fault: route draft: unknown service nobody"},
		"two faults":                {func(c *matcher.Configuration) { c.Version, c.Routes[1].Timeout = 0, 0 }, "fault: route later: no timeout"},
		"host with a port":          {func(c *matcher.Configuration) { c.Routes[0].Host = "a.example:80" }, `warning: route draft: never matches: the host "a.example:80" has a port`},
		"shadowed route":            {func(c *matcher.Configuration) { c.Routes[1].Prefix, c.Routes[1].Host = "/draft/", "A.example" }, "warning: route draft: never matches: route later has the same host and prefix"},
		"target beyond the timeout": {func(c *matcher.Configuration) { c.Routes[2].Target = 2 * time.Second }, "warning: route book: the target of 2s is beyond the timeout of 1s"},
		"attempts of no use":        {func(c *matcher.Configuration) { c.Routes[2].MaxAttempts = 3 }, "warning: route book: allows 3 attempts, but a request that may have run is not repeated"},
		"attempts without time": {func(c *matcher.Configuration) {
			c.Routes[2].Kind, c.Routes[2].MaxAttempts, c.Routes[2].Target = matcher.Idempotent, 3, 400*time.Millisecond
		}, "warning: route book: 3 attempts of 400ms each don't fit into the timeout of 1s"},
		"ranks that invert":         {func(c *matcher.Configuration) { c.Routes[0].Rank = 3 }, "warning: route draft: has a target of 500ms and is less urgent than route later with 5s"},
		"service without a route":   {func(c *matcher.Configuration) { c.Services["spare"] = matcher.Service{Name: "spare"} }, "warning: service spare: gets no requests: no route leads to it"},
		"model that fits nowhere":   {func(c *matcher.Configuration) { c.Services["engines"].Engine.MemoryBytes = 60 }, "warning: service engines: model m needs 70 bytes, an engine has 60"},
		"organisation without keys": {func(c *matcher.Configuration) { c.Organisations[0].Keys = nil }, "warning: organisation acme: has no keys: none of its callers is served"},
		"quota under one request": {func(c *matcher.Configuration) {
			c.Organisations[0].Quota.PerSecond, c.Organisations[0].Quota.Burst = 50, 50
		},
			"warning: organisation acme: a request without token counts uses 200 units, the quota allows 50 a second and 50 saved up"},
		"keys that nobody asks for": {func(c *matcher.Configuration) {
			for i := range c.Routes {
				c.Routes[i].Anonymous = true
			}
		}, "warning: configuration: no route asks for the keys of 1 organisations"},
		"header time beyond idle time": {func(c *matcher.Configuration) { c.Limits.HeaderTime = time.Minute }, "warning: limits: the time for a header, 1m0s, is beyond the idle time of 15s"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			configuration := sound()
			c.change(configuration)
			text := ""
			for _, finding := range auditor.Audit(configuration, nil) {
				text += fmt.Sprintf("%s: %s: %s\n", finding.Severity, finding.Place, finding.Text)
			}
			if c.want == "" {
				assert.Equal(t, text, "")
				return
			}
			assert.Assert(t, strings.Contains(text, c.want), "%s", text)
		})
	}
}

// Guards against an audit by other rules than those of the running system.
func TestFaultsAreThoseOfTheSystem(t *testing.T) {
	configuration := sound()
	configuration.Organisations = append(configuration.Organisations, matcher.Organisation{Name: "other", Keys: []verifier.Digest{verifier.Sum("k1")}})
	findings := auditor.Audit(configuration, nil)
	assert.Equal(t, findings[0].Severity, auditor.Fault)
	assert.ErrorContains(t, configuration.Check(), findings[0].Text)
	assert.Assert(t, !strings.Contains(fmt.Sprint(findings), "k1"), "a key is in the findings")
}

func TestAuditComparesWithTheConfigurationInForce(t *testing.T) {
	before, now := sound(), sound()
	now.Version = 9
	now.Routes = now.Routes[1:]
	now.Routes[0].Timeout = time.Minute
	now.Services["calendar-2"] = matcher.Service{Name: "calendar-2"}
	now.Routes[1].Split = split("calendar-2")
	now.Organisations[0].Keys = []verifier.Digest{verifier.Sum("k2")}
	now.Organisations[0].Quota.PerSecond = 10
	var differences []string
	for _, finding := range auditor.Audit(now, before) {
		if finding.Severity == auditor.Difference {
			differences = append(differences, finding.Place+": "+finding.Text)
		}
	}
	assert.DeepEqual(t, differences, []string{
		"route book: changed", "route draft: removed", "route later: changed", "service calendar-2: added",
		"organisation acme: 1 keys revoked", "organisation acme: 1 keys added",
		"organisation acme: quota changed from 5000 a second and 5000 saved up to 10 and 5000",
	})
	stale := auditor.Audit(before, now)
	assert.Equal(t, stale[0].Text, "has no effect: version 7 is not above version 9, which is in force")
}
