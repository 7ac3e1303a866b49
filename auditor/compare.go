package auditor

import (
	"reflect"
	"slices"

	"burdocklink/matcher"
	"burdocklink/verifier"
)

// compare lists what differs from the configuration in force.
func (a *audit) compare(inForce *matcher.Configuration) {
	if a.configuration.Version <= inForce.Version {
		a.add(Warning, "configuration", "has no effect: version %d is not above version %d, which is in force",
			a.configuration.Version, inForce.Version)
	}
	a.compareRoutes(inForce.Routes)
	for _, name := range union(a.configuration.Services, inForce.Services) {
		now, added := a.configuration.Services[name]
		before, known := inForce.Services[name]
		a.compareEntry("service "+name, known, added, reflect.DeepEqual(before, now))
	}
	a.compareOrganisations(inForce.Organisations)
	if a.configuration.Limits != inForce.Limits {
		a.add(Difference, "limits", "changed from %+v to %+v", inForce.Limits, a.configuration.Limits)
	}
}

// compareEntry adds a finding for an entry that was added, removed or changed.
func (a *audit) compareEntry(place string, before, now, equal bool) {
	switch {
	case !before:
		a.add(Difference, place, "added")
	case !now:
		a.add(Difference, place, "removed")
	case !equal:
		a.add(Difference, place, "changed")
	}
}

// byName maps entries to their names.
func byName[Entry any](entries []Entry, name func(Entry) string) map[string]Entry {
	named := make(map[string]Entry, len(entries))
	for _, entry := range entries {
		named[name(entry)] = entry
	}
	return named
}

func (a *audit) compareRoutes(before []matcher.Route) {
	name := func(route matcher.Route) string { return route.Name }
	old, now := byName(before, name), byName(a.configuration.Routes, name)
	for _, name := range union(now, old) {
		first, known := old[name]
		second, kept := now[name]
		a.compareEntry("route "+name, known, kept, reflect.DeepEqual(first, second))
	}
}

func (a *audit) compareOrganisations(before []matcher.Organisation) {
	name := func(organisation matcher.Organisation) string { return organisation.Name }
	old, now := byName(before, name), byName(a.configuration.Organisations, name)
	for _, name := range union(now, old) {
		first, known := old[name]
		second, kept := now[name]
		place := "organisation " + name
		if !known || !kept {
			a.compareEntry(place, known, kept, false)
			continue
		}
		if removed := missing(first.Keys, second.Keys); removed > 0 {
			a.add(Difference, place, "%d keys revoked", removed)
		}
		if added := missing(second.Keys, first.Keys); added > 0 {
			a.add(Difference, place, "%d keys added", added)
		}
		if first.Quota != second.Quota {
			a.add(Difference, place, "quota changed from %g a second and %g saved up to %g and %g",
				first.Quota.PerSecond, first.Quota.Burst, second.Quota.PerSecond, second.Quota.Burst)
		}
		if first.Ranked != second.Ranked || first.Rank != second.Rank {
			a.add(Difference, place, "rank changed")
		}
	}
}

// missing returns how many keys are not among others.
func missing(keys, others []verifier.Digest) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}

// union returns the names in either map in ascending order.
func union[V any](a, b map[string]V) []string {
	names := append(sortedNames(a), sortedNames(b)...)
	slices.Sort(names)
	return slices.Compact(names)
}
