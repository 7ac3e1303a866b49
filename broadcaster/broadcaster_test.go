package broadcaster_test

import (
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/broadcaster"
	"burdocklink/cataloger"
	"burdocklink/linker"
	"burdocklink/router"
)

// entry is a router with a broadcaster.
type entry struct {
	address string
	router  *router.Router
	sender  *broadcaster.Broadcaster
}

func newEntry(t *testing.T, name string) *entry {
	t.Helper()
	return newEntryWithWake(t, name, func() {})
}

// newEntryWithWake returns an entry that calls wake when notes arrive.
func newEntryWithWake(t testing.TB, name string, wake func()) *entry {
	t.Helper()
	return newEntryWithSettings(t, name, func(settings *broadcaster.Settings) { settings.Wake = wake })
}

// newEntryWithSettings returns an entry with changed settings of its broadcaster.
func newEntryWithSettings(t testing.TB, name string, change func(*broadcaster.Settings)) *entry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &entry{address: listener.Addr().String(), router: router.New(router.Settings{})}
	assert.NilError(t, listener.Close())
	catalog, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: []cataloger.Change{
		cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: "e1", Incarnation: "e1@1", Service: "s", State: cataloger.UpstreamLive, Slots: 1,
		}},
	}})
	assert.NilError(t, err)
	e.router.Update(catalog)
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	settings := broadcaster.Settings{
		Entry: name, Listen: e.address, Links: links, Router: e.router, Wake: func() {}, Log: zap.NewNop(),
	}
	change(&settings)
	e.sender = broadcaster.New(settings)
	assert.NilError(t, e.sender.Start(t.Context(), nil))
	t.Cleanup(func() { _ = e.sender.Stop(time.Now().Add(time.Second)) })
	return e
}

// full reports whether the only upstream is full from the entry's point of view.
func (e *entry) full() bool {
	_, err := e.router.Choose(time.Now(), &router.Request{Service: "s"})
	return err != nil
}

func waitFor(t *testing.T, condition string, reached func() bool) {
	t.Helper()
	for range 5000 {
		if reached() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not reached: " + condition)
}

func TestPeersReceiveInFlightLoad(t *testing.T) {
	a, b := newEntry(t, "a"), newEntry(t, "b")
	a.sender.SetPeers([]string{b.address})
	request := router.Request{Service: "s", PromptTokens: 100}
	choice, err := a.router.Choose(time.Now(), &request)
	assert.NilError(t, err)
	a.router.Started(choice, &request, time.Now())
	waitFor(t, "peer knows the dispatch", b.full)
	a.router.Finished(choice, router.Sample{Ended: time.Now(), Size: request.Size(), Outcome: router.OutcomeFinished})
	waitFor(t, "peer knows the end", func() bool { return !b.full() })
}

func TestLoadOfADisconnectedEntryExpires(t *testing.T) {
	a, b := newEntry(t, "a"), newEntry(t, "b")
	a.sender.SetPeers([]string{b.address})
	request := router.Request{Service: "s"}
	choice, err := a.router.Choose(time.Now(), &request)
	assert.NilError(t, err)
	a.router.Started(choice, &request, time.Now())
	waitFor(t, "peer knows the dispatch", b.full)
	a.sender.SetPeers(nil)
	waitFor(t, "load expired", func() bool { return !b.full() })
}

// Guards against notes that miss the entries that choose engines. When each of 291
// entries sent all loads to 24 others, an entry that chose engines received one
// dispatch in twelve.
func TestOnlyInterestedEntriesReceiveNotes(t *testing.T) {
	a, interested, peer := newEntry(t, "a"), newEntry(t, "b"), newEntry(t, "c")
	source := newEntryWithSettings(t, "d", func(settings *broadcaster.Settings) {
		settings.InterestedEntries = func(string) []string { return []string{interested.address} }
	})
	source.sender.SetPeers([]string{peer.address, a.address})
	request := router.Request{Service: "s", PromptTokens: 100}
	choice, err := source.router.Choose(time.Now(), &request)
	assert.NilError(t, err)
	source.router.Started(choice, &request, time.Now())
	waitFor(t, "interested entry knows the dispatch", interested.full)
	assert.Assert(t, !peer.full() && !a.full())
	source.router.Finished(choice, router.Sample{Ended: time.Now(), Size: request.Size(), Outcome: router.OutcomeFinished})
	waitFor(t, "interested entry knows the end", func() bool { return !interested.full() })
}
