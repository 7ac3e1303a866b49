package surveyor

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/matcher"
)

// lister is a list that a test writes.
type lister struct {
	pages map[string]Page
	err   error
}

func (l *lister) fetch(_ context.Context, page string) (Page, error) { return l.pages[page], l.err }

// failedError says that the list can't be read.
type failedError struct{}

func (*failedError) Error() string { return "no list" }

func engine(name string, state State, holds ...string) Upstream {
	upstream := Upstream{
		Name: name, Incarnation: name + "@1", Service: "s", Address: name + ":1", Slots: 2, State: state,
	}
	for _, model := range holds {
		upstream.Holds = append(upstream.Holds, Held{Model: model, Adapters: []string{"a1"}})
	}
	return upstream
}

func survey(l *lister) (*Surveyor, func() *cataloger.Catalog, *int) {
	last := cataloger.New()
	told := 0
	notify := func(changes []cataloger.Change) {
		told++
		// a delta from the catalog's revision always continues it
		last, _ = last.With(cataloger.Delta{From: last.Revision, To: last.Revision + 1, Changes: changes})
	}
	s := New(Settings{Fetch: l.fetch, Notify: notify, Log: zap.NewNop()})
	return s, func() *cataloger.Catalog { return last }, &told
}

func TestAListIsReadPageByPage(t *testing.T) {
	l := &lister{pages: map[string]Page{
		"":   {Upstreams: []Upstream{engine("e1", Live, "m")}, Next: "p2"},
		"p2": {Upstreams: []Upstream{engine("e2", Leaving, "m")}},
	}}
	s, last, told := survey(l)
	assert.NilError(t, s.read())
	assert.Equal(t, last().Upstreams["e1"].State, cataloger.UpstreamLive)
	assert.Equal(t, last().Upstreams["e2"].State, cataloger.UpstreamLeaving)
	assert.DeepEqual(t, last().Holders[HeldName("s", "m", "")], []string{"e1", "e2"})
	assert.DeepEqual(t, last().Holders[HeldName("s", "m", "a1")], []string{"e1", "e2"})
	// the same list is no news
	assert.NilError(t, s.read())
	assert.Equal(t, *told, 1)
}

func TestAListThatCannotBeReadChangesNothing(t *testing.T) {
	l := &lister{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "m")}}}}
	s, last, told := survey(l)
	assert.NilError(t, s.read())
	l.err = &failedError{}
	assert.Assert(t, s.read() != nil)
	assert.Equal(t, *told, 1)
	assert.Equal(t, len(last().Upstreams), 1)
}

func TestTheControlGroupsWordGoesFirst(t *testing.T) {
	l := &lister{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "old")}}}}
	told := func(incarnation string, until time.Time) Told {
		return Told{Upstream: "e1", Incarnation: incarnation, Holds: []Held{{Model: "new"}}, Until: until}
	}
	cases := map[string]struct {
		told Told
		want string
	}{
		"fresh":               {told("e1@1", time.Now().Add(time.Hour)), "new"},
		"too old":             {told("e1@1", time.Now().Add(-time.Second)), "old"},
		"another incarnation": {told("e1@0", time.Now().Add(time.Hour)), "old"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, last, _ := survey(l)
			s.Tell([]Told{c.told})
			assert.NilError(t, s.read())
			assert.DeepEqual(t, last().Placements["e1"].Models, []string{HeldName("s", c.want, "")})
		})
	}
}

func TestWhatEnginesCanDoComesFromTheConfiguration(t *testing.T) {
	l := &lister{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "m")}}}}
	s, last, _ := survey(l)
	assert.NilError(t, s.read())
	assert.Equal(t, last().Upstreams["e1"].Kind, cataloger.PlainUpstream)
	s.Configure(&matcher.Configuration{Services: map[string]matcher.Service{
		"s": {Name: "s", Engine: &matcher.Engine{Slots: 64, CacheTokens: 1000, MemoryBytes: 5}},
	}})
	assert.Equal(t, last().Upstreams["e1"].Kind, cataloger.EngineUpstream)
	assert.Equal(t, last().Upstreams["e1"].Slots, 64)
	assert.Equal(t, last().Upstreams["e1"].CacheTokens, 1000)
}

func TestHeldNames(t *testing.T) {
	cases := map[string]struct{ service, model, adapter string }{
		"model":   {"s", "m", ""},
		"adapter": {"s", "m", "a1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			service, model, adapter, ok := ParseHeldName(HeldName(c.service, c.model, c.adapter))
			assert.Assert(t, ok)
			assert.Equal(t, service, c.service)
			assert.Equal(t, model, c.model)
			assert.Equal(t, adapter, c.adapter)
		})
	}
	_, _, _, ok := ParseHeldName("calendar")
	assert.Assert(t, !ok)
}

// told returns the holdings of e1 that the control group tells.
func held(model string) []Told {
	return []Told{{Upstream: "e1", Incarnation: "e1@1", Holds: []Held{{Model: model}}, Until: time.Now().Add(time.Hour)}}
}

func TestAPictureNeverGoesBack(t *testing.T) {
	fresh := engine("e2", Live)
	cases := map[string]struct {
		// meanwhile is what another process tells while the list is read, in
		// which e1 takes work and e2 is missing.
		meanwhile func(s *Surveyor)
		read      bool
		e1        cataloger.UpstreamState
		e2        bool
	}{
		"nothing": {func(*Surveyor) {}, true, cataloger.UpstreamLive, false},
		"one more is listed": {func(s *Surveyor) {
			s.Learn(Changes{Upstreams: []Upstream{fresh}})
		}, false, cataloger.UpstreamLive, true},
		"another list is whole": {func(s *Surveyor) {
			s.Learn(Changes{Whole: true, Upstreams: []Upstream{engine("e1", Leaving), fresh}})
		}, false, cataloger.UpstreamLeaving, true},
		"the known list was read later": {func(s *Surveyor) {
			s.Confirm(time.Now().Add(time.Minute))
		}, false, cataloger.UpstreamLive, false},
		"an older reading is confirmed": {func(s *Surveyor) {
			s.Confirm(time.Now().Add(-time.Minute))
		}, true, cataloger.UpstreamLive, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s *Surveyor
			l := &lister{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "m")}}}}
			s, last, _ := survey(l)
			s.Learn(Changes{Whole: true, Upstreams: []Upstream{engine("e1", Live, "m")}})
			s.settings.Fetch = func(ctx context.Context, page string) (Page, error) {
				c.meanwhile(s)
				return l.fetch(ctx, page)
			}
			err := s.read()
			if c.read {
				assert.NilError(t, err)
			} else {
				assert.ErrorType(t, err, &OvertakenError{})
			}
			assert.Equal(t, last().Upstreams["e1"].State, c.e1)
			_, known := last().Upstreams["e2"]
			assert.Equal(t, known, c.e2)
		})
	}
}

func TestAnIncarnationThatLeavesStaysLeaving(t *testing.T) {
	restarted := engine("e1", Live)
	restarted.Incarnation = "e1@2"
	cases := map[string]struct {
		next Upstream
		want cataloger.UpstreamState
	}{
		"the same incarnation": {engine("e1", Live), cataloger.UpstreamLeaving},
		"the next one":         {restarted, cataloger.UpstreamLive},
	}
	takeIn := map[string]func(s *Surveyor, next Upstream) error{
		"read": func(s *Surveyor, next Upstream) error {
			s.settings.Fetch = (&lister{pages: map[string]Page{"": {Upstreams: []Upstream{next}}}}).fetch
			return s.read()
		},
		"learned": func(s *Surveyor, next Upstream) error {
			s.Learn(Changes{Upstreams: []Upstream{next}})
			return nil
		},
		"learned whole": func(s *Surveyor, next Upstream) error {
			s.Learn(Changes{Whole: true, Upstreams: []Upstream{next}})
			return nil
		},
	}
	for name, c := range cases {
		for way, take := range takeIn {
			t.Run(name+" "+way, func(t *testing.T) {
				s, last, _ := survey(&lister{})
				s.Learn(Changes{Whole: true, Upstreams: []Upstream{engine("e1", Leaving)}})
				assert.NilError(t, take(s, c.next))
				assert.Equal(t, last().Upstreams["e1"].State, c.want)
			})
		}
	}
}

// A leader may be lost while a reading is under way that shows a leaving
// upstream: nothing may be sent there, whichever reading is newer.
func TestAnOvertakenReadingStillShowsWhatLeaves(t *testing.T) {
	l := &lister{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Leaving)}}}}
	s, last, _ := survey(l)
	s.Learn(Changes{Whole: true, Upstreams: []Upstream{engine("e1", Live)}})
	s.settings.Fetch = func(ctx context.Context, page string) (Page, error) {
		s.Learn(Changes{Upstreams: []Upstream{engine("e2", Live)}})
		return l.fetch(ctx, page)
	}
	assert.ErrorType(t, s.read(), &OvertakenError{})
	assert.Equal(t, last().Upstreams["e1"].State, cataloger.UpstreamLeaving)
}

func TestAWordThatGrowsOldGivesWayToTheList(t *testing.T) {
	l := &lister{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "listed")}}}}
	s, last, _ := survey(l)
	assert.NilError(t, s.read())
	told := held("told")
	s.Tell(told)
	assert.DeepEqual(t, last().Placements["e1"].Models, []string{HeldName("s", "told", "")})
	told[0].Until = time.Now().Add(-time.Second)
	s.Tell(told)
	assert.DeepEqual(t, last().Placements["e1"].Models, []string{HeldName("s", "listed", "")})
}
