package router

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

// singleEngineCatalog returns a catalog of one engine that holds model m.
func singleEngineCatalog(t *testing.T, incarnation, address string, state cataloger.UpstreamState) *cataloger.Catalog {
	t.Helper()
	next, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: []cataloger.Change{
		cataloger.PutModel{Model: cataloger.Model{Name: "m", Service: "chat"}},
		cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: "e0", Incarnation: incarnation, Address: address, Service: "chat",
			Kind: cataloger.EngineUpstream, State: state, Slots: 16,
		}},
		cataloger.PutPlacement{Placement: cataloger.Placement{Upstream: "e0", Incarnation: incarnation, Models: []string{"m"}}},
	}})
	assert.NilError(t, err)
	return next
}

// engineChoice returns the choice of one engine of a fleet.
func engineChoice(at int) Choice {
	return Choice{Upstream: fmt.Sprintf("e%d", at), Incarnation: "1", Address: "127.0.0.1:1"}
}

func TestLeavingAnnouncedInAnswerIsFinalForIncarnation(t *testing.T) {
	const first, second = "127.0.0.1:1", "127.0.0.1:2"
	live := cataloger.UpstreamLive
	cases := map[string]struct {
		event      func(t *testing.T, r *Router)
		wantChosen bool
	}{
		"no event": {func(*testing.T, *Router) {}, false},
		"later report without the flag": {func(_ *testing.T, r *Router) {
			r.Observe(estimator.Report{Upstream: "e0", Incarnation: "1", Sequence: 1, Models: []string{"m"}})
		}, false},
		"answer without a notice": {func(_ *testing.T, r *Router) { r.ObserveNotice(epoch, engineChoice(0), Notice{}) }, false},
		"catalog lists it again":  {func(t *testing.T, r *Router) { r.Update(singleEngineCatalog(t, "1", first, live)) }, false},
		"catalog drops it and lists it again": {func(t *testing.T, r *Router) {
			r.Update(cataloger.New())
			r.Update(singleEngineCatalog(t, "1", first, live))
		}, false},
		"change removes it and adds it again": {func(t *testing.T, r *Router) {
			r.Apply([]cataloger.Change{cataloger.RemoveUpstream{Name: "e0"}})
			r.Apply(singleEngineCatalog(t, "1", first, live).Changes())
		}, false},
		"change adds another incarnation": {func(t *testing.T, r *Router) {
			r.Apply(singleEngineCatalog(t, "2", first, live).Changes())
		}, true},
		"other address": {func(t *testing.T, r *Router) { r.Update(singleEngineCatalog(t, "1", second, live)) }, false},
		"other incarnation at the same address": {func(t *testing.T, r *Router) {
			r.Update(singleEngineCatalog(t, "2", first, live))
		}, true},
		"late answer of the previous incarnation": {func(t *testing.T, r *Router) {
			r.Update(singleEngineCatalog(t, "2", first, live))
			r.ObserveNotice(epoch, engineChoice(0), Notice{Leaving: true})
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			r.Update(singleEngineCatalog(t, "1", first, live))
			assert.Assert(t, r.ObserveNotice(epoch, engineChoice(0), Notice{Leaving: true}).Leaving)
			assert.Assert(t, !r.ObserveNotice(epoch, engineChoice(0), Notice{Leaving: true}).Leaving, "reported only once")
			c.event(t, r)
			assert.Equal(t, countChosen(r, "e0", epoch) > 0, c.wantChosen)
		})
	}
}

// A cached prompt must not attract requests to an upstream that is leaving or paused.
func TestNoticesOverrideCachedPrompts(t *testing.T) {
	for name, notice := range map[string]Notice{
		"leaving": {Leaving: true}, "paused": {PausedUntil: epoch.Add(2 * time.Minute)},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			r.Update(fleetCatalog(t, 2))
			request := newRequest(1)
			request.PromptTokens = 20_000
			request.Prefixes = []Prefix{{Hash: 1, Tokens: 20_000}}
			for _, u := range r.table.upstreams {
				u.cacheTokens = 1_000_000
			}
			first, err := r.Choose(epoch, request)
			assert.NilError(t, err)
			r.Started(first, request, epoch)
			r.Finished(first, Sample{Ended: epoch, Size: request.Size(), Outcome: OutcomeFinished})
			now := epoch.Add(time.Minute)
			again, err := r.Choose(now, request)
			assert.NilError(t, err)
			assert.Equal(t, again.Upstream, first.Upstream)
			assert.Equal(t, again.CachedTokens, 20_000)
			r.ObserveNotice(now, first, notice)
			other, err := r.Choose(now, request)
			assert.NilError(t, err)
			assert.Assert(t, other.Upstream != first.Upstream)
		})
	}
}

func TestPausedUpstreamGetsNoRequestsUntilPauseEnds(t *testing.T) {
	r := New(Settings{})
	r.Update(fleetCatalog(t, 2))
	change := r.ObserveNotice(epoch, engineChoice(0), Notice{PausedUntil: epoch.Add(3 * time.Second)})
	assert.Assert(t, change.PauseChanged)
	assert.Assert(t, !change.PausedUntil.Before(epoch.Add(3*time.Second)))
	assert.Assert(t, change.PausedUntil.Before(epoch.Add(3*time.Second+entryReturnSpread)))
	// Refusals that were already on their way repeat the pause.
	assert.Assert(t, !r.ObserveNotice(epoch, engineChoice(0), Notice{PausedUntil: epoch.Add(3010 * time.Millisecond)}).PauseChanged)
	assert.Assert(t, !r.ObserveNotice(epoch, engineChoice(0), Notice{PausedUntil: epoch.Add(time.Second)}).PauseChanged)
	assert.Assert(t, r.ObserveNotice(epoch, engineChoice(0), Notice{PausedUntil: epoch.Add(5 * time.Second)}).PauseChanged)
	assert.Equal(t, countChosen(r, "e0", epoch), 0)
	assert.Equal(t, countChosen(r, "e1", epoch), 200)
	assert.Equal(t, countChosen(r, "e0", epoch.Add(5*time.Second-1)), 0)
	assert.Assert(t, countChosen(r, "e0", epoch.Add(5*time.Second+entryReturnSpread)) > 0)
	// A new catalog changes nothing.
	r.Update(fleetCatalog(t, 3))
	assert.Equal(t, countChosen(r, "e0", epoch), 0)
}

func TestRefusalReasons(t *testing.T) {
	pause := func(seconds int) Notice {
		return Notice{PausedUntil: epoch.Add(time.Duration(seconds) * time.Second)}
	}
	leaving := Notice{Leaving: true}
	cases := map[string]struct {
		notices []Notice
		avoid   []string
		full    bool
		// least is the earliest retry time in seconds after a pause.
		least int
		err   error
	}{
		"all paused":                        {notices: []Notice{pause(4), pause(2)}, least: 2, err: &PausedError{}},
		"one paused, one leaving":           {notices: []Notice{pause(4), leaving}, least: 4, err: &PausedError{}},
		"one paused and leaving":            {notices: []Notice{{Leaving: true, PausedUntil: epoch.Add(time.Second)}, pause(3)}, least: 3, err: &PausedError{}},
		"one paused, one tried":             {notices: []Notice{pause(4)}, avoid: []string{"e1"}, least: 4, err: &PausedError{}},
		"one paused and tried, one leaving": {notices: []Notice{pause(4), leaving}, avoid: []string{"e0"}, least: 4, err: &PausedError{}},
		"all leaving":                       {notices: []Notice{leaving, leaving}, err: &NoUpstreamError{}},
		"one paused, one full":              {notices: []Notice{pause(4)}, full: true, err: &SaturatedError{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			r.Update(fleetCatalog(t, 2))
			for at, notice := range c.notices {
				r.ObserveNotice(epoch, engineChoice(at), notice)
			}
			if c.full {
				fill(t, r, epoch, newRequest(1))
			}
			retries := map[time.Time]bool{}
			for seed := range uint64(50) {
				request := newRequest(seed)
				request.Avoid = c.avoid
				_, err := r.Choose(epoch, request)
				assert.Equal(t, fmt.Sprintf("%T", err), fmt.Sprintf("%T", c.err))
				var paused *PausedError
				if !errors.As(err, &paused) {
					continue
				}
				end := epoch.Add(time.Duration(c.least) * time.Second)
				assert.Assert(t, !paused.RetryAt.Before(end), "%v", paused.RetryAt.Sub(epoch))
				assert.Assert(t, paused.RetryAt.Before(end.Add(entryReturnSpread+callerRetrySpread)), "%v", paused.RetryAt.Sub(epoch))
				retries[paused.RetryAt] = true
			}
			assert.Equal(t, len(retries) > 40, c.least > 0, "retries are spread")
		})
	}
}

func TestChoiceIsCheckedAgainBeforeUse(t *testing.T) {
	cases := map[string]struct {
		change func(t *testing.T, r *Router)
		want   bool
	}{
		"no change": {func(*testing.T, *Router) {}, true},
		"leaving":   {func(_ *testing.T, r *Router) { r.ObserveNotice(epoch, engineChoice(0), Notice{Leaving: true}) }, false},
		"paused": {func(_ *testing.T, r *Router) {
			r.ObserveNotice(epoch, engineChoice(0), Notice{PausedUntil: epoch.Add(time.Second)})
		}, false},
		"leaving in the catalog": {func(t *testing.T, r *Router) {
			r.Update(singleEngineCatalog(t, "1", "127.0.0.1:1", cataloger.UpstreamLeaving))
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			r.Update(singleEngineCatalog(t, "1", "127.0.0.1:1", cataloger.UpstreamLive))
			choice, err := r.Choose(epoch, newRequest(1))
			assert.NilError(t, err)
			c.change(t, r)
			assert.Equal(t, r.Allows(epoch, choice), c.want)
		})
	}
}

func TestCounts(t *testing.T) {
	r := New(Settings{})
	r.Update(fleetCatalog(t, 5))
	r.ObserveNotice(epoch, engineChoice(0), Notice{Leaving: true})
	r.ObserveNotice(epoch, engineChoice(1), Notice{PausedUntil: epoch.Add(time.Second)})
	r.Observe(estimator.Report{Upstream: "e2", Incarnation: "1", Sequence: 1, Leaving: true})
	assert.Equal(t, r.Counts(epoch), Counts{LeavingReported: 1, LeavingAnswered: 1, PausedAnswered: 1})
	r.Update(singleEngineCatalog(t, "1", "127.0.0.1:1", cataloger.UpstreamLeaving))
	assert.Equal(t, r.Counts(epoch.Add(time.Minute)), Counts{LeavingListed: 1, LeavingAnswered: 1})
}

func TestNoticesAreBounded(t *testing.T) {
	r := New(Settings{})
	for at := range maxIncarnations + 100 {
		r.ObserveNotice(epoch.Add(time.Duration(at)*time.Millisecond), engineChoice(at), Notice{Leaving: true})
	}
	assert.Equal(t, len(r.notices), maxIncarnations)
	_, found := r.notices[incarnation{"e0", "1"}]
	assert.Assert(t, !found, "the oldest is evicted first")
}

// TestFleetObservesPausesAndLeaving lets 60 entries choose among 100 servers, each of
// which pauses for all entries at the same time, and counts the requests that reach the
// servers.
func TestFleetObservesPausesAndLeaving(t *testing.T) {
	const entries, servers, length = 60, 100, 2 * time.Second
	routers := make([]*Router, entries)
	for at := range routers {
		routers[at] = New(Settings{Seed: uint64(at) + 1, Entries: entries})
		routers[at].Update(fleetCatalog(t, servers))
		for server := range servers {
			notice := Notice{PausedUntil: epoch.Add(length)}
			if server%10 == 0 {
				notice.Leaving = true
			}
			routers[at].ObserveNotice(epoch, engineChoice(server), notice)
		}
	}
	const step = 10 * time.Millisecond
	steps := map[time.Duration]int{}
	for since := length - 100*time.Millisecond; since < length+entryReturnSpread; since += step {
		for at, r := range routers {
			for try := range 10 {
				request := newRequest(uint64(since) + uint64(at*1000+try))
				choice, err := r.Choose(epoch.Add(since), request)
				if err != nil {
					continue
				}
				assert.Assert(t, since >= length, "%s was chosen %v before the end", choice.Upstream, length-since)
				assert.Assert(t, choice.Upstream[len(choice.Upstream)-1] != '0', "%s leaves", choice.Upstream)
				r.Started(choice, request, epoch.Add(since))
				steps[since]++
			}
		}
	}
	// Each entry sends one request to each server during the return, and not all of
	// them at once.
	total, most := 0, 0
	for _, count := range steps {
		total, most = total+count, max(most, count)
	}
	assert.Assert(t, total <= entries*servers*9/10, "%d", total)
	assert.Assert(t, most < total/5, "%d of %d in one step", most, total)
}

func TestUpdatesDoNotRaceWithAllows(t *testing.T) {
	r := New(Settings{})
	r.Update(singleEngineCatalog(t, "1", "127.0.0.1:1", cataloger.UpstreamLive))
	changes := singleEngineCatalog(t, "1", "127.0.0.1:1", cataloger.UpstreamLive).Changes()
	var checks sync.WaitGroup
	stop := make(chan struct{})
	checks.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				r.Allows(epoch, engineChoice(0))
			}
		}
	})
	for range 1000 {
		r.Apply(append(changes, cataloger.RemoveUpstream{Name: "e1"}))
	}
	close(stop)
	checks.Wait()
}
