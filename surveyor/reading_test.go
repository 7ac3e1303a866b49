package surveyor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
)

// peerGroup is a group of entries that share readings. The first one reads for all.
type peerGroup struct {
	entries []*Surveyor
	// fetched counts the reads of the platform's list.
	fetched atomic.Int64
	// state is the state of the only upstream. While silent is true, the first
	// entry does not answer.
	state  atomic.Int64
	silent atomic.Bool
}

// readInterval allows 200 ms for a request to a peer, which is ample on a busy
// machine.
const readInterval = time.Second

func newPeerGroup(t *testing.T, size int) *peerGroup {
	t.Helper()
	g := &peerGroup{}
	g.state.Store(int64(Live))
	for at := range size {
		settings := Settings{
			FetchPage: g.fetch, Interval: readInterval, Notify: func([]cataloger.Change) {}, Log: zap.NewNop(),
		}
		if at > 0 {
			settings.AskPeer = g.serveReading
		}
		g.entries = append(g.entries, New(settings))
	}
	return g
}

func (g *peerGroup) fetch(context.Context, string) (Page, error) {
	g.fetched.Add(1)
	return Page{Upstreams: []Upstream{engine("e1", State(g.state.Load()), "m")}}, nil
}

func (g *peerGroup) serveReading(ctx context.Context, request ReadingRequest) (Reading, error) {
	if g.silent.Load() {
		<-ctx.Done()
		return Reading{}, ctx.Err()
	}
	return g.entries[0].ServeReading(ctx, request)
}

func (g *peerGroup) start(t *testing.T) {
	t.Helper()
	for _, s := range g.entries {
		assert.NilError(t, s.Start(t.Context(), nil))
		t.Cleanup(func() { _ = s.Stop(time.Now().Add(time.Second)) })
	}
}

// allKnowLeaving reports whether all entries know that the upstream is leaving.
func (g *peerGroup) allKnowLeaving() bool {
	for _, s := range g.entries {
		s.mutex.Lock()
		known := s.listed["e1"].State
		s.mutex.Unlock()
		if known != Leaving {
			return false
		}
	}
	return true
}

// Without a leader, 67 entries each read the platform's list themselves, which made
// 4,000 to 8,000 calls a day.
func TestEntriesShareReadingsWithoutALeader(t *testing.T) {
	const size, intervals = 16, 3
	g := newPeerGroup(t, size)
	g.start(t)
	time.Sleep(intervals * readInterval)
	g.state.Store(int64(Leaving))
	time.Sleep(readInterval * 3 / 2)
	assert.Assert(t, g.allKnowLeaving())
	// each entry reads once at its start, then one reads for all, a little earlier
	// than it would alone
	most := int64(size + 2*(intervals+2))
	assert.Assert(t, g.fetched.Load() <= most, "%d readings", g.fetched.Load())
}

// An entry must learn of a leaving upstream without depending on any other process.
func TestEntryReadsListItselfWhenPeerIsSilent(t *testing.T) {
	g := newPeerGroup(t, 2)
	g.start(t)
	time.Sleep(readInterval / 2)
	g.silent.Store(true)
	g.state.Store(int64(Leaving))
	time.Sleep(readInterval * 3 / 2)
	assert.Assert(t, g.allKnowLeaving())
}

func TestConcurrentRequestsShareOneRead(t *testing.T) {
	g := newPeerGroup(t, 1)
	release := make(chan struct{})
	g.entries[0].settings.FetchPage = func(ctx context.Context, page string) (Page, error) {
		<-release
		return g.fetch(ctx, page)
	}
	const requests = 10
	answers := make(chan error, requests)
	for range requests {
		go func() {
			_, err := g.entries[0].ServeReading(t.Context(), ReadingRequest{NotBefore: time.Now().Add(-time.Minute)})
			answers <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	for range requests {
		assert.NilError(t, <-answers)
	}
	assert.Equal(t, g.fetched.Load(), int64(1))
}

func TestUnchangedReadingOmitsTheList(t *testing.T) {
	g := newPeerGroup(t, 2)
	reader, requester := g.entries[0], g.entries[1]
	assert.NilError(t, reader.read())
	request := requester.readingRequest()
	reading, err := reader.ServeReading(t.Context(), request)
	assert.NilError(t, err)
	assert.Equal(t, len(reading.Upstreams), 1)
	assert.NilError(t, requester.readFromPeer())
	reading, err = reader.ServeReading(t.Context(), ReadingRequest{Digest: requester.readingRequest().Digest})
	assert.NilError(t, err)
	assert.Assert(t, reading.Unchanged)
	assert.Equal(t, len(reading.Upstreams), 0)
}

func TestDigestDistinguishesLists(t *testing.T) {
	base := engine("e1", Live, "m")
	other := func(change func(*Upstream)) Upstream {
		upstream := engine("e1", Live, "m")
		change(&upstream)
		return upstream
	}
	cases := map[string]Upstream{
		"name":        other(func(u *Upstream) { u.Name = "e2" }),
		"incarnation": other(func(u *Upstream) { u.Incarnation = "e1@2" }),
		"service":     other(func(u *Upstream) { u.Service = "t" }),
		"address":     other(func(u *Upstream) { u.Address = "e1:2" }),
		"zone":        other(func(u *Upstream) { u.AvailabilityZone = "z" }),
		"slots":       other(func(u *Upstream) { u.Slots = 3 }),
		"state":       other(func(u *Upstream) { u.State = Leaving }),
		"model":       other(func(u *Upstream) { u.Holds[0].Model = "n" }),
		"version":     other(func(u *Upstream) { u.Holds[0].Version = 2 }),
		"adapter":     other(func(u *Upstream) { u.Holds[0].Adapters = []string{"a2"} }),
		"no adapters": other(func(u *Upstream) { u.Holds[0].Adapters = nil }),
		"no holdings": other(func(u *Upstream) { u.Holds = nil }),
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, digestOf(listing(base)) != digestOf(listing(c)))
		})
	}
	assert.Equal(t, digestOf(listing(base, engine("e2", Live))), digestOf(listing(engine("e2", Live), base)))
}

func TestSupersededPeerReadingIsIgnored(t *testing.T) {
	old := time.Now().Add(-time.Minute)
	cases := map[string]func(s *Surveyor) Reading{
		"stale reading": func(*Surveyor) Reading { return Reading{ReadAt: old, Unchanged: true} },
		"newer list confirmed": func(s *Surveyor) Reading {
			s.ConfirmRead(time.Now().Add(time.Minute))
			return Reading{ReadAt: time.Now(), Upstreams: []Upstream{engine("e9", Live)}}
		},
		"changes applied, different list": func(s *Surveyor) Reading {
			s.ApplyChanges(Changes{Upstreams: []Upstream{engine("e2", Live)}})
			return Reading{ReadAt: time.Now(), Upstreams: []Upstream{engine("e9", Live)}}
		},
		"changes applied, same list": func(s *Surveyor) Reading {
			s.ApplyChanges(Changes{Upstreams: []Upstream{engine("e2", Live)}})
			return Reading{ReadAt: time.Now(), Unchanged: true}
		},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			s, last, _ := newTestSurveyor(&fakeList{})
			s.settings.Interval = readInterval
			s.ApplyChanges(Changes{Full: true, Upstreams: []Upstream{engine("e1", Live)}})
			s.ConfirmRead(time.Now().Add(-time.Second))
			s.settings.AskPeer = func(context.Context, ReadingRequest) (Reading, error) { return answer(s), nil }
			readAt := s.readAt
			assert.Assert(t, s.readFromPeer() != nil)
			_, known := last().Upstreams["e9"]
			assert.Assert(t, !known)
			assert.Assert(t, s.readAt.Equal(readAt) || s.readAt.After(time.Now()))
		})
	}
}

// An entry that was suspended must not serve a reading from before the suspension
// as fresh. The monotonic clock does not advance during it.
func TestReadingFromBeforeASuspensionIsStale(t *testing.T) {
	cases := map[string]struct {
		// afterwards runs after the suspension.
		afterwards func(s *Surveyor, before time.Time)
		// fetched is the number of reads for the next request.
		fetched int64
	}{
		"no confirmation":       {func(*Surveyor, time.Time) {}, 1},
		"old reading confirmed": {func(s *Surveyor, before time.Time) { s.ConfirmRead(before) }, 1},
		"new reading confirmed": {func(s *Surveyor, _ time.Time) { s.ConfirmRead(time.Now()) }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newPeerGroup(t, 1)
			s := g.entries[0]
			var suspended time.Duration
			s.suspended = func() time.Duration { return suspended }
			assert.NilError(t, s.read())
			before := time.Now()
			suspended = 5 * time.Second
			s.age(time.Now())
			c.afterwards(s, before)
			fetched := g.fetched.Load()
			reading, err := s.ServeReading(t.Context(), ReadingRequest{NotBefore: before.Add(-time.Minute)})
			assert.NilError(t, err)
			assert.Equal(t, g.fetched.Load()-fetched, c.fetched)
			assert.Assert(t, reading.ReadAt.After(before))
		})
	}
}

func TestSuspensionDuringReadMakesItStale(t *testing.T) {
	g := newPeerGroup(t, 1)
	s := g.entries[0]
	var suspended time.Duration
	s.suspended = func() time.Duration { return suspended }
	s.settings.FetchPage = func(ctx context.Context, page string) (Page, error) {
		suspended = 5 * time.Second
		return g.fetch(ctx, page)
	}
	assert.ErrorType(t, s.read(), &StaleError{})
	assert.NilError(t, s.read())
}
