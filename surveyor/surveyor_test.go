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

// fakeList is a platform's list set by tests.
type fakeList struct {
	pages map[string]Page
	err   error
}

func (l *fakeList) fetch(_ context.Context, page string) (Page, error) { return l.pages[page], l.err }

// listError reports that the list can't be read.
type listError struct{}

func (*listError) Error() string { return "no list" }

func engine(name string, state State, holds ...string) Upstream {
	upstream := Upstream{
		Name: name, Incarnation: name + "@1", Service: "s", Address: name + ":1", Slots: 2, State: state,
	}
	for _, model := range holds {
		upstream.Holds = append(upstream.Holds, HeldModel{Model: model, Adapters: []string{"a1"}})
	}
	return upstream
}

func newTestSurveyor(l *fakeList) (*Surveyor, func() *cataloger.Catalog, *int) {
	last := cataloger.New()
	notifications := 0
	notify := func(changes []cataloger.Change) {
		notifications++
		// a delta from the catalog's own revision always applies
		last, _ = last.With(cataloger.Delta{From: last.Revision, To: last.Revision + 1, Changes: changes})
	}
	s := New(Settings{FetchPage: l.fetch, Notify: notify, Log: zap.NewNop()})
	return s, func() *cataloger.Catalog { return last }, &notifications
}

func TestListIsReadPageByPage(t *testing.T) {
	l := &fakeList{pages: map[string]Page{
		"":   {Upstreams: []Upstream{engine("e1", Live, "m")}, Next: "p2"},
		"p2": {Upstreams: []Upstream{engine("e2", Leaving, "m")}},
	}}
	s, last, notifications := newTestSurveyor(l)
	assert.NilError(t, s.read())
	assert.Equal(t, last().Upstreams["e1"].State, cataloger.UpstreamLive)
	assert.Equal(t, last().Upstreams["e2"].State, cataloger.UpstreamLeaving)
	assert.DeepEqual(t, last().Holders[HeldName("s", "m", "")], []string{"e1", "e2"})
	assert.DeepEqual(t, last().Holders[HeldName("s", "m", "a1")], []string{"e1", "e2"})
	// the same list causes no notification
	assert.NilError(t, s.read())
	assert.Equal(t, *notifications, 1)
}

func TestFailedReadChangesNothing(t *testing.T) {
	l := &fakeList{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "m")}}}}
	s, last, notifications := newTestSurveyor(l)
	assert.NilError(t, s.read())
	l.err = &listError{}
	assert.Assert(t, s.read() != nil)
	assert.Equal(t, *notifications, 1)
	assert.Equal(t, len(last().Upstreams), 1)
}

func TestControlGroupHoldingsOverrideTheList(t *testing.T) {
	l := &fakeList{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "old")}}}}
	holdings := func(incarnation string, until time.Time) EngineHoldings {
		return EngineHoldings{Upstream: "e1", Incarnation: incarnation, Holds: []HeldModel{{Model: "new"}}, ValidUntil: until}
	}
	cases := map[string]struct {
		holdings EngineHoldings
		want     string
	}{
		"valid":               {holdings("e1@1", time.Now().Add(time.Hour)), "new"},
		"expired":             {holdings("e1@1", time.Now().Add(-time.Second)), "old"},
		"another incarnation": {holdings("e1@0", time.Now().Add(time.Hour)), "old"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, last, _ := newTestSurveyor(l)
			s.UpdateHoldings([]EngineHoldings{c.holdings})
			assert.NilError(t, s.read())
			assert.DeepEqual(t, last().Placements["e1"].Models, []string{HeldName("s", c.want, "")})
		})
	}
}

func TestEngineCapabilitiesComeFromConfiguration(t *testing.T) {
	l := &fakeList{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "m")}}}}
	s, last, _ := newTestSurveyor(l)
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

func TestReadNeverRevertsNewerState(t *testing.T) {
	fresh := engine("e2", Live)
	cases := map[string]struct {
		// concurrently runs while the list is read. In the list that is read, e1 is
		// live and e2 is missing.
		concurrently func(s *Surveyor)
		read         bool
		e1           cataloger.UpstreamState
		e2           bool
	}{
		"no change": {func(*Surveyor) {}, true, cataloger.UpstreamLive, false},
		"new upstream": {func(s *Surveyor) {
			s.ApplyChanges(Changes{Upstreams: []Upstream{fresh}})
		}, false, cataloger.UpstreamLive, true},
		"full list": {func(s *Surveyor) {
			s.ApplyChanges(Changes{Full: true, Upstreams: []Upstream{engine("e1", Leaving), fresh}})
		}, false, cataloger.UpstreamLeaving, true},
		"newer read confirmed": {func(s *Surveyor) {
			s.ConfirmRead(time.Now().Add(time.Minute))
		}, false, cataloger.UpstreamLive, false},
		"older read confirmed": {func(s *Surveyor) {
			s.ConfirmRead(time.Now().Add(-time.Minute))
		}, true, cataloger.UpstreamLive, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s *Surveyor
			l := &fakeList{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "m")}}}}
			s, last, _ := newTestSurveyor(l)
			s.ApplyChanges(Changes{Full: true, Upstreams: []Upstream{engine("e1", Live, "m")}})
			s.settings.FetchPage = func(ctx context.Context, page string) (Page, error) {
				c.concurrently(s)
				return l.fetch(ctx, page)
			}
			err := s.read()
			if c.read {
				assert.NilError(t, err)
			} else {
				assert.ErrorType(t, err, &SupersededError{})
			}
			assert.Equal(t, last().Upstreams["e1"].State, c.e1)
			_, known := last().Upstreams["e2"]
			assert.Equal(t, known, c.e2)
		})
	}
}

func TestLeavingIncarnationStaysLeaving(t *testing.T) {
	restarted := engine("e1", Live)
	restarted.Incarnation = "e1@2"
	cases := map[string]struct {
		next Upstream
		want cataloger.UpstreamState
	}{
		"same incarnation": {engine("e1", Live), cataloger.UpstreamLeaving},
		"next incarnation": {restarted, cataloger.UpstreamLive},
	}
	inputs := map[string]func(s *Surveyor, next Upstream) error{
		"read": func(s *Surveyor, next Upstream) error {
			s.settings.FetchPage = (&fakeList{pages: map[string]Page{"": {Upstreams: []Upstream{next}}}}).fetch
			return s.read()
		},
		"changes": func(s *Surveyor, next Upstream) error {
			s.ApplyChanges(Changes{Upstreams: []Upstream{next}})
			return nil
		},
		"full list": func(s *Surveyor, next Upstream) error {
			s.ApplyChanges(Changes{Full: true, Upstreams: []Upstream{next}})
			return nil
		},
	}
	for name, c := range cases {
		for input, apply := range inputs {
			t.Run(name+" "+input, func(t *testing.T) {
				s, last, _ := newTestSurveyor(&fakeList{})
				s.ApplyChanges(Changes{Full: true, Upstreams: []Upstream{engine("e1", Leaving)}})
				assert.NilError(t, apply(s, c.next))
				assert.Equal(t, last().Upstreams["e1"].State, c.want)
			})
		}
	}
}

// A leader may be lost while a read is in progress that shows a leaving upstream.
// No requests may be sent there, whichever reading is newer.
func TestSupersededReadStillAppliesLeaving(t *testing.T) {
	l := &fakeList{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Leaving)}}}}
	s, last, _ := newTestSurveyor(l)
	s.ApplyChanges(Changes{Full: true, Upstreams: []Upstream{engine("e1", Live)}})
	s.settings.FetchPage = func(ctx context.Context, page string) (Page, error) {
		s.ApplyChanges(Changes{Upstreams: []Upstream{engine("e2", Live)}})
		return l.fetch(ctx, page)
	}
	assert.ErrorType(t, s.read(), &SupersededError{})
	assert.Equal(t, last().Upstreams["e1"].State, cataloger.UpstreamLeaving)
}

// Whatever other input arrives, expired holdings of the control group must give way
// to the list.
func TestExpiredHoldingsFallBackToTheList(t *testing.T) {
	const validity = 50 * time.Millisecond
	inputs := map[string]func(s *Surveyor) error{
		"own read":                   func(s *Surveyor) error { return s.read() },
		"reading of a peer":          func(s *Surveyor) error { return s.readFromPeer() },
		"leader's read confirmed":    func(s *Surveyor) error { s.ConfirmRead(time.Now()); return nil },
		"holdings of another engine": func(s *Surveyor) error { s.UpdateHoldings([]EngineHoldings{{Upstream: "e2"}}); return nil },
	}
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			l := &fakeList{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "listed")}}}}
			s, last, _ := newTestSurveyor(l)
			s.settings.Interval = validity
			s.settings.AskPeer = func(context.Context, ReadingRequest) (Reading, error) {
				return Reading{ReadAt: time.Now(), Unchanged: true}, nil
			}
			assert.NilError(t, s.read())
			holdings := EngineHoldings{Upstream: "e1", Incarnation: "e1@1", Holds: []HeldModel{{Model: "reported"}}, ValidUntil: time.Now().Add(validity)}
			s.UpdateHoldings([]EngineHoldings{holdings})
			assert.DeepEqual(t, last().Placements["e1"].Models, []string{HeldName("s", "reported", "")})
			time.Sleep(2 * validity)
			assert.NilError(t, input(s))
			assert.DeepEqual(t, last().Placements["e1"].Models, []string{HeldName("s", "listed", "")})
		})
	}
}
