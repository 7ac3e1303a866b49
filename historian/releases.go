package historian

import (
	"maps"
	"slices"
	"time"

	"burdocklink/cataloger"
)

const (
	// releaseLifetime is how long streams of a version that is no longer listed may be
	// taken up again. Clocks of members may differ by some seconds of it.
	releaseLifetime = 5 * time.Minute
	// maxVersions is the number of versions of a service that are told apart. Further ones
	// count as unknown.
	maxVersions = 64
)

// versions returns the distinct software versions, sorted, with the empty one for
// unknown versions.
func versions(software []string) []string {
	distinct := slices.Clone(software)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	if len(distinct) > maxVersions {
		return append([]string{""}, distinct[len(distinct)-maxVersions:]...)
	}
	return distinct
}

// Possible returns the versions that may have begun a stream of a service which can still
// be taken up, sorted.
func Possible(releases map[cataloger.ReleaseKey]cataloger.Release, service string, listed []string, now time.Time) []string {
	possible := slices.Clone(listed)
	for key, release := range releases {
		if key.Service == service && !isOver(release, now) {
			possible = append(possible, key.Software)
		}
	}
	return versions(possible)
}

// isOver reports whether no stream of a release can be taken up again.
func isOver(release cataloger.Release, now time.Time) bool {
	return !release.GoneAt.IsZero() && !now.Before(release.GoneAt.Add(releaseLifetime))
}

// Changes returns the changes that make releases agree with the versions that are listed,
// by service.
func Changes(releases map[cataloger.ReleaseKey]cataloger.Release, listed map[string][]string, now time.Time) []cataloger.Change {
	current := map[cataloger.ReleaseKey]bool{}
	var changes []cataloger.Change
	for _, service := range slices.Sorted(maps.Keys(listed)) {
		for _, software := range versions(listed[service]) {
			key := cataloger.ReleaseKey{Service: service, Software: software}
			current[key] = true
			if release, known := releases[key]; !known || !release.GoneAt.IsZero() {
				changes = append(changes, cataloger.PutRelease{Release: cataloger.Release{ReleaseKey: key}})
			}
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(releases), cataloger.ReleaseKey.Compare) {
		switch release := releases[key]; {
		case current[key]:
		case release.GoneAt.IsZero():
			release.GoneAt = now
			changes = append(changes, cataloger.PutRelease{Release: release})
		case isOver(release, now):
			changes = append(changes, cataloger.RemoveRelease{ReleaseKey: key})
		}
	}
	return changes
}
