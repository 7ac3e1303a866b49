package responder_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder/wire"
	"burdocklink/mover"
	"burdocklink/responder"
	"burdocklink/surveyor"
)

// fakeHoldings provides the holdings that a test sets.
type fakeHoldings struct {
	*surveyor.Changelog[surveyor.EngineHoldings]
}

func newFakeHoldings() fakeHoldings {
	return fakeHoldings{surveyor.NewChangelog(func(a, b surveyor.EngineHoldings) bool { return a.Incarnation == b.Incarnation })}
}

func (s fakeHoldings) Held(after uint64) ([]surveyor.EngineHoldings, uint64) {
	holdings, newest, _ := s.After(after)
	return holdings, newest
}

func (fakeHoldings) Want(context.Context, mover.Want) mover.WantResult { return mover.WantResult{} }

// put changes the holdings of an engine.
func (s fakeHoldings) put(name string, incarnation int) {
	s.Set(name, surveyor.EngineHoldings{Upstream: name, Incarnation: fmt.Sprint(incarnation)})
}

// follow opens the stream of an entry that has an address.
func follow(t *testing.T, r *responder.Responder, index int) wire.Control_FollowClient {
	t.Helper()
	stream, err := wire.NewControlClient(dial(t, r, nil)).Follow(testContext(t))
	assert.NilError(t, err)
	assert.NilError(t, stream.Send(&wire.FollowRequest{
		Entry: fmt.Sprint("e-", index), Address: fmt.Sprint("a-", index), Number: 1,
	}))
	return stream
}

// reportAll sends another message from each entry. Errors are ignored, because a stream
// that ended fails when it is read.
func reportAll(streams []wire.Control_FollowClient) {
	for i, stream := range streams {
		_ = stream.Send(&wire.FollowRequest{Entry: fmt.Sprint("e-", i), Address: fmt.Sprint("a-", i), Number: 2})
	}
}

func TestUnchangedHoldingsAreConfirmedWithoutRepeat(t *testing.T) {
	holdings := newFakeHoldings()
	for i := range 5 {
		holdings.put(fmt.Sprint("u-", i), 1)
	}
	stream := follow(t, serveWith(t, responder.Settings{Holdings: holdings, HeartbeatInterval: 20 * time.Millisecond}), 1)
	received, confirmations := 0, 0
	for confirmations < 2 {
		reply, err := stream.Recv()
		assert.NilError(t, err)
		if holdings := reply.GetHoldings(); holdings != nil {
			received += len(holdings.GetHoldings())
			if len(holdings.GetHoldings()) == 0 && received > 0 {
				confirmations++
			}
		}
	}
	assert.Equal(t, received, 5)
}

func TestHoldingsChangesAreBatchedForManyEntries(t *testing.T) {
	const entries, changes = 60, 300
	holdings := newFakeHoldings()
	r := serveWith(t, responder.Settings{Holdings: holdings, HeartbeatInterval: 250 * time.Millisecond})
	streams := make([]wire.Control_FollowClient, entries)
	for i := range streams {
		streams[i] = follow(t, r, i)
	}
	for known := 0; known < entries; {
		reply, err := streams[0].Recv()
		assert.NilError(t, err)
		known = max(known, len(reply.GetHeartbeat().GetPeers()))
	}
	began := time.Now()
	go func() {
		for i := range changes {
			if i%100 == 0 {
				reportAll(streams)
			}
			holdings.put(fmt.Sprint("u-", i%140), i)
			time.Sleep(5 * time.Millisecond)
		}
		holdings.put("last", 1)
	}()
	messages := 0
	for last := false; !last; {
		reply, err := streams[0].Recv()
		assert.NilError(t, err)
		if holdings := reply.GetHoldings(); len(holdings.GetHoldings()) > 0 {
			messages++
			last = slices.ContainsFunc(holdings.GetHoldings(), func(holding *wire.Holding) bool { return holding.GetUpstream() == "last" })
		}
	}
	// one per heartbeat, and one for the first change
	limit := int(time.Since(began)/(250*time.Millisecond)) + 2
	assert.Assert(t, messages <= limit, "%d messages in %s", messages, time.Since(began))
}

func TestPeersAreSentOnlyOnChange(t *testing.T) {
	r := serveWith(t, responder.Settings{HeartbeatInterval: 20 * time.Millisecond})
	first := follow(t, r, 1)
	// peers returns the next list of entries, and the number of heartbeats without one
	// before it
	peers := func() ([]string, int) {
		for withoutPeers := 0; ; {
			reply, err := first.Recv()
			assert.NilError(t, err)
			heartbeat := reply.GetHeartbeat()
			switch {
			case len(heartbeat.GetPeers()) > 0:
				return heartbeat.GetPeers(), withoutPeers
			case heartbeat != nil:
				withoutPeers++
			}
		}
	}
	addresses, _ := peers()
	assert.DeepEqual(t, addresses, []string{"a-1"})
	time.Sleep(500 * time.Millisecond)
	follow(t, r, 2)
	addresses, withoutPeers := peers()
	assert.DeepEqual(t, addresses, []string{"a-1", "a-2"})
	assert.Assert(t, withoutPeers >= 5, "%d heartbeats without peers", withoutPeers)
}

func TestHoldingsAreResentPeriodically(t *testing.T) {
	t.Parallel()
	holdings := newFakeHoldings()
	holdings.put("u", 1)
	stream := follow(t, serveWith(t, responder.Settings{Holdings: holdings, HeartbeatInterval: 100 * time.Millisecond}), 1)
	began := time.Now()
	for received := 0; received < 2; {
		reply, err := stream.Recv()
		assert.NilError(t, err)
		received += len(reply.GetHoldings().GetHoldings())
	}
	assert.Assert(t, time.Since(began) < 10*time.Second)
}
