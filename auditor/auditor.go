// Package auditor examines a routing configuration before it is sent: faults for which it
// would be refused, entries that can never match, limits that contradict each other, and
// what differs from the configuration in force.
package auditor

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"burdocklink/matcher"
)

// Severity is how grave a finding is.
type Severity int

const (
	// Fault means that the configuration would be refused.
	Fault Severity = iota + 1
	// Warning means that a part of the configuration has no effect, or another one than its
	// author probably wants.
	Warning
	// Difference is a change against the configuration in force.
	Difference
)

// String returns the severity as it appears in reports.
func (s Severity) String() string {
	switch s {
	case Fault:
		return "fault"
	case Warning:
		return "warning"
	case Difference:
		return "difference"
	default:
		return "none"
	}
}

// Finding is one observation.
type Finding struct {
	Severity Severity
	// Place names what it is about, such as "route draft".
	Place string
	Text  string
}

// Audit returns the findings about a configuration, the gravest first and in the order of
// the configuration. InForce is nil if it is not known. The faults are those for which the
// running system refuses a configuration.
func Audit(configuration, inForce *matcher.Configuration) []Finding {
	a := &audit{configuration: configuration}
	for _, fault := range configuration.Faults() {
		a.add(Fault, placeOf(fault), "%s", fault.Reason)
	}
	a.checkRoutes()
	a.checkRanks()
	a.checkServices()
	a.checkOrganisations()
	a.checkLimits()
	if inForce != nil {
		a.compare(inForce)
	}
	slices.SortStableFunc(a.findings, func(a, b Finding) int { return int(a.Severity - b.Severity) })
	return a.findings
}

func placeOf(fault *matcher.InvalidError) string {
	switch {
	case fault.Route != "":
		return "route " + fault.Route
	case fault.Organisation != "":
		return "organisation " + fault.Organisation
	default:
		return "configuration"
	}
}

type audit struct {
	configuration *matcher.Configuration
	findings      []Finding
}

func (a *audit) add(severity Severity, place, format string, values ...any) {
	a.findings = append(a.findings, Finding{Severity: severity, Place: place, Text: fmt.Sprintf(format, values...)})
}

// checkRoutes finds routes that no request matches, and times that contradict each other.
func (a *audit) checkRoutes() {
	shadows := map[string]string{}
	for i := range a.configuration.Routes {
		route := &a.configuration.Routes[i]
		place := "route " + route.Name
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			a.add(Warning, place, "never matches: the prefix %q doesn't begin and end with a slash", route.Prefix)
		}
		if strings.Contains(route.Host, ":") {
			a.add(Warning, place, "never matches: the host %q has a port", route.Host)
		}
		key := strings.ToLower(route.Host) + " " + route.Prefix
		if other, known := shadows[key]; known && other != route.Name {
			a.add(Warning, "route "+other, "never matches: route %s has the same host and prefix", route.Name)
		}
		shadows[key] = route.Name
		a.checkTimes(place, route)
		for _, share := range route.Split {
			if share.Weight == 0 && len(route.Split) > 1 {
				a.add(Warning, place, "sends nothing to service %s: its weight is 0", share.Service)
			}
		}
	}
}

func (a *audit) checkTimes(place string, route *matcher.Route) {
	if route.Target > route.Timeout && route.Timeout > 0 {
		a.add(Warning, place, "the target of %s is beyond the timeout of %s", route.Target, route.Timeout)
	}
	if route.EventGapTarget > route.Timeout && route.Timeout > 0 {
		a.add(Warning, place, "the pause of %s between events is beyond the timeout of %s", route.EventGapTarget, route.Timeout)
	}
	if route.MaxAttempts > 1 && !route.Repeatable() {
		a.add(Warning, place, "allows %d attempts, but a request that may have run is not repeated", route.MaxAttempts)
	}
	if needed := time.Duration(route.MaxAttempts) * route.Target; route.MaxAttempts > 1 && route.Repeatable() &&
		route.Kind != matcher.Streaming && needed > route.Timeout {
		a.add(Warning, place, "%d attempts of %s each don't fit into the timeout of %s", route.MaxAttempts, route.Target, route.Timeout)
	}
}

// checkRanks finds routes of a service that are less urgent than others with longer
// targets.
func (a *audit) checkRanks() {
	routes := a.configuration.Routes
	for i := range routes {
		for j := range routes {
			first, second := &routes[i], &routes[j]
			if first.Target > 0 && first.Target < second.Target && first.Rank > second.Rank && sharesService(first, second) {
				a.add(Warning, "route "+first.Name, "has a target of %s and is less urgent than route %s with %s",
					first.Target, second.Name, second.Target)
				break
			}
		}
	}
}

func sharesService(a, b *matcher.Route) bool {
	return slices.ContainsFunc(a.Split, func(share matcher.WeightedService) bool {
		return slices.ContainsFunc(b.Split, func(other matcher.WeightedService) bool { return other.Service == share.Service })
	})
}

// checkServices finds services without routes and models that no engine can hold.
func (a *audit) checkServices() {
	used := map[string]bool{}
	for _, route := range a.configuration.Routes {
		for _, share := range route.Split {
			used[share.Service] = used[share.Service] || share.Weight > 0
		}
	}
	for _, name := range sortedNames(a.configuration.Services) {
		service := a.configuration.Services[name]
		place := "service " + name
		if !used[name] {
			a.add(Warning, place, "gets no requests: no route leads to it")
		}
		if service.Engine != nil {
			a.checkEngine(place, service.Engine)
		}
	}
}

func (a *audit) checkEngine(place string, engine *matcher.Engine) {
	for _, name := range sortedNames(engine.Models) {
		model := engine.Models[name]
		if model.MemoryBytes > engine.MemoryBytes {
			a.add(Warning, place, "model %s needs %d bytes, an engine has %d", name, model.MemoryBytes, engine.MemoryBytes)
		}
		if model.Adapters > 0 && engine.AdapterSlots == 0 {
			a.add(Warning, place, "model %s has adapters, an engine has no places for them", name)
		}
	}
}

// checkOrganisations finds organisations whose callers are never served.
func (a *audit) checkOrganisations() {
	anonymous := 0
	for i := range a.configuration.Routes {
		if a.configuration.Routes[i].Anonymous {
			anonymous++
		}
	}
	if count := len(a.configuration.Organisations); count > 0 && anonymous == len(a.configuration.Routes) && anonymous > 0 {
		a.add(Warning, "configuration", "no route asks for the keys of %d organisations", count)
	}
	for i := range a.configuration.Organisations {
		organisation := &a.configuration.Organisations[i]
		place := "organisation " + organisation.Name
		if len(organisation.Keys) == 0 {
			a.add(Warning, place, "has no keys: none of its callers is served")
		}
		quota := organisation.Quota
		least := quota.Cost(0, false)
		if quota.Limited() && quota.Burst+quota.PerSecond < least {
			a.add(Warning, place, "a request without token counts uses %g units, the quota allows %g a second and %g saved up",
				least, quota.PerSecond, quota.Burst)
		}
		if !quota.Limited() && quota.Burst > 0 {
			a.add(Warning, place, "a burst of %g without a rate is no limit", quota.Burst)
		}
	}
}

func (a *audit) checkLimits() {
	limits := a.configuration.Limits
	if limits.IdleTime > 0 && limits.HeaderTime > limits.IdleTime {
		a.add(Warning, "limits", "the time for a header, %s, is beyond the idle time of %s", limits.HeaderTime, limits.IdleTime)
	}
}

func sortedNames[V any](entries map[string]V) []string {
	names := make([]string, 0, len(entries))
	for name := range entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
