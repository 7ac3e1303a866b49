package surveyor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
)

func listing(upstreams ...Upstream) map[string]Upstream {
	listed := map[string]Upstream{}
	for _, upstream := range upstreams {
		listed[upstream.Name] = upstream
	}
	return listed
}

func upstreamNames(changes Changes) []string {
	var found []string
	for _, upstream := range changes.Upstreams {
		found = append(found, upstream.Name)
	}
	return found
}

func TestListFeedReportsChanges(t *testing.T) {
	first := listing(engine("e1", Live, "m"), engine("e2", Live))
	cases := map[string]struct {
		next  map[string]Upstream
		full  bool
		names []string
	}{
		"no change":             {first, false, nil},
		"changed holdings only": {listing(engine("e1", Live, "n"), engine("e2", Live, "m")), false, nil},
		"upstream leaving":      {listing(engine("e1", Leaving, "m"), engine("e2", Live)), false, []string{"e1"}},
		"new upstream":          {listing(engine("e1", Live, "m"), engine("e2", Live), engine("e3", Live)), false, []string{"e3"}},
		"upstream gone":         {listing(engine("e2", Live)), true, []string{"e2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			feed := NewListFeed()
			at := time.Now()
			feed.Replace(first, at)
			before := feed.After(0)
			assert.Assert(t, before.Full)
			assert.DeepEqual(t, upstreamNames(before), []string{"e1", "e2"})
			feed.Replace(c.next, at.Add(time.Second))
			after := feed.After(before.Serial)
			assert.Equal(t, after.Full, c.full)
			assert.DeepEqual(t, upstreamNames(after), c.names)
			assert.Equal(t, after.ReadAt, at.Add(time.Second))
		})
	}
}

func TestListFeedResetForcesFullList(t *testing.T) {
	feed := NewListFeed()
	feed.Replace(listing(engine("e1", Live)), time.Now())
	serial := feed.After(0).Serial
	feed.Reset()
	feed.Replace(listing(engine("e1", Live), engine("e2", Live)), time.Now())
	assert.Assert(t, feed.After(serial).Full)
}

func TestAppliedChangesMergeWithKnownList(t *testing.T) {
	l := &fakeList{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "m"), engine("e2", Leaving)}}}}
	cases := map[string]struct {
		changes Changes
		states  map[string]cataloger.UpstreamState
	}{
		"new upstream":                   {Changes{Upstreams: []Upstream{engine("e3", Live)}}, states(cataloger.UpstreamLive, cataloger.UpstreamLeaving, cataloger.UpstreamLive)},
		"upstream leaving":               {Changes{Upstreams: []Upstream{engine("e1", Leaving)}}, states(cataloger.UpstreamLeaving, cataloger.UpstreamLeaving, 0)},
		"leaving upstream reported live": {Changes{Upstreams: []Upstream{engine("e2", Live)}}, states(cataloger.UpstreamLive, cataloger.UpstreamLeaving, 0)},
		"upstream gone":                  {Changes{Full: true, Upstreams: []Upstream{engine("e2", Leaving)}}, states(0, cataloger.UpstreamLeaving, 0)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, last, _ := newTestSurveyor(l)
			assert.NilError(t, s.read())
			s.ApplyChanges(c.changes)
			found := map[string]cataloger.UpstreamState{}
			for name, upstream := range last().Upstreams {
				found[name] = upstream.State
			}
			assert.DeepEqual(t, found, c.states)
			if found["e1"] != 0 {
				// holdings come from the entry's own reading
				assert.DeepEqual(t, last().Placements["e1"].Models, []string{HeldName("s", "m", "")})
			}
		})
	}
}

// states returns the given states of e1, e2 and e3, without those that are zero.
func states(e1, e2, e3 cataloger.UpstreamState) map[string]cataloger.UpstreamState {
	found := map[string]cataloger.UpstreamState{}
	for name, state := range map[string]cataloger.UpstreamState{"e1": e1, "e2": e2, "e3": e3} {
		if state != 0 {
			found[name] = state
		}
	}
	return found
}

func TestConfirmedReadResetsAge(t *testing.T) {
	l := &fakeList{pages: map[string]Page{"": {}}}
	s, _, _ := newTestSurveyor(l)
	assert.NilError(t, s.read())
	later := time.Now().Add(time.Hour)
	s.ConfirmRead(later)
	assert.Equal(t, s.age(later.Add(time.Second)), time.Second)
	// an older confirmation has no effect
	s.ConfirmRead(later.Add(-time.Minute))
	assert.Equal(t, s.age(later.Add(time.Second)), time.Second)
}
