package broadcaster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/encoder/wire"
	"burdocklink/estimator"
	"burdocklink/router"
)

// newUnstartedBroadcaster returns a broadcaster that has not been started, with peers
// whose queues hold all notes, and its router.
func newUnstartedBroadcaster(t *testing.T, peers, upstreams int) (*Broadcaster, *router.Router) {
	t.Helper()
	r := router.New(router.Settings{})
	for number := range upstreams {
		r.Apply([]cataloger.Change{cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: fmt.Sprintf("e%d", number), Incarnation: "1", Service: "s", State: cataloger.UpstreamLive, Slots: 1,
		}}})
	}
	b := New(Settings{Entry: "own", Router: r})
	for number := range peers {
		address := fmt.Sprint(number)
		b.peers[address] = &peer{address: address, notes: make(chan *wire.EntryNotes, 1000)}
	}
	return b, r
}

// Guards against notes that grow with the number of entries times their requests. On
// a large site they used half of the entries' CPU time.
func TestNoteRateIsBoundedForAnyNumberOfPeers(t *testing.T) {
	const duration = 800 * time.Millisecond
	for _, peers := range []int{1, 6, 24} {
		t.Run(fmt.Sprint(peers), func(t *testing.T) {
			b, r := newUnstartedBroadcaster(t, peers, 1)
			go b.run()
			request := router.Request{Service: "s", PromptTokens: 1}
			choice := router.Choice{Upstream: "e0", Incarnation: "1"}
			startedAt := time.Now()
			for time.Since(startedAt) < duration {
				r.Started(choice, &request, time.Now())
				time.Sleep(time.Millisecond)
			}
			b.cancel()
			<-b.done
			notes := 0
			for _, p := range b.peers {
				notes += len(p.notes)
			}
			// One more note per peer may be sent at each end of the interval.
			limit := int(maxNotesPerSecond*time.Since(startedAt).Seconds()) + 2*peers
			assert.Assert(t, notes <= limit, "%d notes", notes)
			assert.Assert(t, notes >= peers)
		})
	}
}

func TestFullNotesContainEachLoadOnce(t *testing.T) {
	b, r := newUnstartedBroadcaster(t, 0, 3)
	request := router.Request{Service: "s", PromptTokens: 10, BaseModel: "m"}
	for _, name := range []string{"e0", "e1"} {
		r.Started(router.Choice{Upstream: name, Incarnation: "1"}, &request, time.Now())
	}
	assert.Equal(t, len(b.collect(false).GetLoads()), 2)
	assert.Assert(t, b.collect(false) == nil)
	r.Started(router.Choice{Upstream: "e1", Incarnation: "1"}, &request, time.Now())
	notes := b.collect(true)
	assert.Assert(t, notes.GetWhole())
	shares := map[string]estimator.EntryLoad{}
	for _, load := range notes.GetLoads() {
		shares[load.GetUpstream()] = estimator.EntryLoad{
			Requests: int(load.GetRequests()), KVCacheTokens: int(load.GetTokens()), PromptTokens: int(load.GetPromptTokens()),
		}
		assert.Equal(t, len(load.GetModels()), 0)
	}
	assert.DeepEqual(t, shares, map[string]estimator.EntryLoad{
		"e0": {Requests: 1, KVCacheTokens: 10},
		"e1": {Requests: 2, KVCacheTokens: 20, PromptTokens: 10},
	})
	assert.Equal(t, len(b.collect(true).GetLoads()), 2)
}
