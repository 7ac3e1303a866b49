package historian_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/historian"
	"burdocklink/router"
)

// start is an arbitrary time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func stream(service, software string) router.Stream {
	return router.Stream{Service: service, Origin: router.Origin{Software: software, Incarnation: "u@1"}}
}

// releasesOf returns releases by software version; a zero time means that it is listed.
func releasesOf(goneAt map[string]time.Time) map[cataloger.ReleaseKey]cataloger.Release {
	releases := map[cataloger.ReleaseKey]cataloger.Release{}
	for software, at := range goneAt {
		key := cataloger.ReleaseKey{Service: "s", Software: software}
		releases[key] = cataloger.Release{ReleaseKey: key, GoneAt: at}
	}
	return releases
}

func TestFirstOriginOfAStreamStays(t *testing.T) {
	table := historian.NewTable(10)
	assert.Assert(t, table.Record("r", stream("s", "v1"), start))
	assert.Assert(t, !table.Record("r", stream("s", "v2"), start))
	found, known := table.Find("r", start.Add(4*time.Minute))
	assert.Assert(t, known)
	assert.Equal(t, found, stream("s", "v1"))
	_, known = table.Find("r", start.Add(11*time.Minute))
	assert.Assert(t, !known)
}

func TestTableIsBounded(t *testing.T) {
	table := historian.NewTable(10)
	for i := range 1000 {
		table.Record(fmt.Sprint("r", i), stream("s", "v1"), start)
	}
	assert.Assert(t, len(table.All("s", start)) <= 20)
	_, known := table.Find("r999", start)
	assert.Assert(t, known)
	assert.Assert(t, !table.Record("", stream("s", "v1"), start))
	assert.Assert(t, !table.Record(string(make([]byte, 1000)), stream("s", "v1"), start))
}

func TestChangesFollowTheListedVersions(t *testing.T) {
	key := func(software string) cataloger.ReleaseKey {
		return cataloger.ReleaseKey{Service: "s", Software: software}
	}
	put := func(software string, goneAt time.Time) cataloger.Change {
		return cataloger.PutRelease{Release: cataloger.Release{ReleaseKey: key(software), GoneAt: goneAt}}
	}
	cases := map[string]struct {
		known  map[string]time.Time
		listed []string
		want   []cataloger.Change
	}{
		"first":        {nil, []string{"v1", "v1"}, []cataloger.Change{put("v1", time.Time{})}},
		"unchanged":    {map[string]time.Time{"v1": {}}, []string{"v1"}, nil},
		"second":       {map[string]time.Time{"v1": {}}, []string{"v1", "v2"}, []cataloger.Change{put("v2", time.Time{})}},
		"unknown":      {map[string]time.Time{"v1": {}}, []string{"v1", ""}, []cataloger.Change{put("", time.Time{})}},
		"gone":         {map[string]time.Time{"v1": {}, "v2": {}}, []string{"v2"}, []cataloger.Change{put("v1", start)}},
		"gone already": {map[string]time.Time{"v1": start.Add(-time.Minute), "v2": {}}, []string{"v2"}, nil},
		"back":         {map[string]time.Time{"v1": start.Add(-time.Minute)}, []string{"v1"}, []cataloger.Change{put("v1", time.Time{})}},
		"over": {map[string]time.Time{"v1": start.Add(-time.Hour), "v2": {}}, []string{"v2"},
			[]cataloger.Change{cataloger.RemoveRelease{ReleaseKey: key("v1")}}},
		"none listed": {map[string]time.Time{"v1": {}}, nil, []cataloger.Change{put("v1", start)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := historian.Changes(releasesOf(c.known), map[string][]string{"s": c.listed}, start)
			assert.DeepEqual(t, got, c.want)
		})
	}
}

func TestStreamOfUnknownOriginContinuesOnlyIfOneVersionCanHaveBegunIt(t *testing.T) {
	later := start.Add(2 * time.Second)
	cases := map[string]struct {
		recorded map[string]router.Stream
		releases map[string]time.Time
		listed   []string
		unread   bool
		services []string
		at       time.Time
		want     historian.Answer
	}{
		"recorded": {
			recorded: map[string]router.Stream{"r": stream("s", "v1")}, releases: map[string]time.Time{"v1": {}, "v2": {}},
			listed: []string{"v1", "v2"}, want: historian.Known{Stream: stream("s", "v1")},
		},
		"one version ever": {
			releases: map[string]time.Time{"v1": {}}, listed: []string{"v1"},
			want: historian.Known{Stream: router.Stream{Service: "s", Origin: router.Origin{Software: "v1"}}},
		},
		"two versions listed": {
			releases: map[string]time.Time{"v1": {}, "v2": {}}, listed: []string{"v1", "v2"}, want: historian.Unknown{},
		},
		"only the new version is still listed": {
			releases: map[string]time.Time{"v1": start.Add(-time.Minute), "v2": {}}, listed: []string{"v2"}, want: historian.Unknown{},
		},
		"the old version was listed until now and its end is not recorded": {
			releases: map[string]time.Time{"v1": {}, "v2": {}}, listed: []string{"v2"}, want: historian.Unknown{},
		},
		"the new version is listed and not recorded": {
			releases: map[string]time.Time{"v1": {}}, listed: []string{"v1", "v2"}, want: historian.Unknown{},
		},
		"the old version has been gone for long": {
			releases: map[string]time.Time{"v1": start.Add(-time.Hour), "v2": {}}, listed: []string{"v2"},
			want: historian.Known{Stream: router.Stream{Service: "s", Origin: router.Origin{Software: "v2"}}},
		},
		"unknown version": {releases: map[string]time.Time{"": {}}, listed: []string{""}, want: historian.Unknown{}},
		"one of two versions is unknown": {
			releases: map[string]time.Time{"v1": {}, "": {}}, listed: []string{"v1", ""}, want: historian.Unknown{},
		},
		"two services": {
			releases: map[string]time.Time{"v1": {}}, listed: []string{"v1"}, services: []string{"s", "t"}, want: historian.Unknown{},
		},
		"the list has not been read in this term": {
			releases: map[string]time.Time{"v1": {}}, unread: true, want: historian.Undecided{},
		},
		"entries may not have sent their streams to the new leader": {
			releases: map[string]time.Time{"v1": {}, "v2": {}}, listed: []string{"v1", "v2"}, at: start, want: historian.Undecided{},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			archive := historian.NewArchive()
			archive.SetListed(1, nil, start.Add(-time.Hour))
			if !c.unread {
				archive.SetListed(2, map[string][]string{"s": c.listed}, start)
			}
			archive.Record(c.recorded, start)
			services := c.services
			if services == nil {
				services = []string{"s"}
			}
			at := c.at
			if at.IsZero() {
				at = later
			}
			assert.DeepEqual(t, archive.Find("r", services, 2, releasesOf(c.releases), at), c.want)
		})
	}
}
