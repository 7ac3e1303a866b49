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

// shelf holds what a test says that engines hold.
type shelf struct {
	*surveyor.Changelog[surveyor.EngineHoldings]
}

func newShelf() shelf {
	return shelf{surveyor.NewChangelog(func(a, b surveyor.EngineHoldings) bool { return a.Incarnation == b.Incarnation })}
}

func (s shelf) Held(after uint64) ([]surveyor.EngineHoldings, uint64) {
	told, newest, _ := s.After(after)
	return told, newest
}

func (shelf) Want(context.Context, mover.Want) mover.WantResult { return mover.WantResult{} }

// put changes what an engine holds.
func (s shelf) put(name string, incarnation int) {
	s.Set(name, surveyor.EngineHoldings{Upstream: name, Incarnation: fmt.Sprint(incarnation)})
}

// follow opens the stream of an entry that takes notes.
func follow(t *testing.T, r *responder.Responder, entry int) wire.Control_FollowClient {
	t.Helper()
	stream, err := wire.NewControlClient(dial(t, r, nil)).Follow(limited(t))
	assert.NilError(t, err)
	assert.NilError(t, stream.Send(&wire.FollowRequest{
		Entry: fmt.Sprint("e-", entry), Address: fmt.Sprint("a-", entry), Number: 1,
	}))
	return stream
}

// report has all entries say again that they are there. A stream that has ended
// shows at its receiving side.
func report(streams []wire.Control_FollowClient) {
	for at, stream := range streams {
		_ = stream.Send(&wire.FollowRequest{Entry: fmt.Sprint("e-", at), Address: fmt.Sprint("a-", at), Number: 2})
	}
}

func TestHoldingsStandWithoutBeingRepeated(t *testing.T) {
	held := newShelf()
	for at := range 5 {
		held.put(fmt.Sprint("u-", at), 1)
	}
	stream := follow(t, serveWith(t, responder.Settings{Holdings: held, Pulse: 20 * time.Millisecond}), 1)
	told, stands := 0, 0
	for stands < 2 {
		reply, err := stream.Recv()
		assert.NilError(t, err)
		if holdings := reply.GetHoldings(); holdings != nil {
			told += len(holdings.GetHoldings())
			if len(holdings.GetHoldings()) == 0 && told > 0 {
				stands++
			}
		}
	}
	assert.Equal(t, told, 5)
}

func TestChangesOfHoldingsDoNotFloodManyEntries(t *testing.T) {
	const entries, changes = 60, 300
	held := newShelf()
	r := serveWith(t, responder.Settings{Holdings: held, Pulse: 250 * time.Millisecond})
	streams := make([]wire.Control_FollowClient, entries)
	for at := range streams {
		streams[at] = follow(t, r, at)
	}
	for known := 0; known < entries; {
		reply, err := streams[0].Recv()
		assert.NilError(t, err)
		known = max(known, len(reply.GetHeartbeat().GetPeers()))
	}
	began := time.Now()
	go func() {
		for at := range changes {
			if at%100 == 0 {
				report(streams)
			}
			held.put(fmt.Sprint("u-", at%140), at)
			time.Sleep(5 * time.Millisecond)
		}
		held.put("last", 1)
	}()
	messages := 0
	for last := false; !last; {
		reply, err := streams[0].Recv()
		assert.NilError(t, err)
		if holdings := reply.GetHoldings(); len(holdings.GetHoldings()) > 0 {
			messages++
			last = slices.ContainsFunc(holdings.GetHoldings(), func(one *wire.Holding) bool { return one.GetUpstream() == "last" })
		}
	}
	// one a pulse, and one for the first change
	most := int(time.Since(began)/(250*time.Millisecond)) + 2
	assert.Assert(t, messages <= most, "%d messages in %s", messages, time.Since(began))
}

func TestEntriesAreNamedOnlyWhenTheyChange(t *testing.T) {
	r := serveWith(t, responder.Settings{Pulse: 20 * time.Millisecond})
	first := follow(t, r, 1)
	// peers returns the next list of entries, and how many heartbeats named none
	peers := func() ([]string, int) {
		for silent := 0; ; {
			reply, err := first.Recv()
			assert.NilError(t, err)
			beat := reply.GetHeartbeat()
			switch {
			case len(beat.GetPeers()) > 0:
				return beat.GetPeers(), silent
			case beat != nil:
				silent++
			}
		}
	}
	named, _ := peers()
	assert.DeepEqual(t, named, []string{"a-1"})
	time.Sleep(500 * time.Millisecond)
	follow(t, r, 2)
	named, silent := peers()
	assert.DeepEqual(t, named, []string{"a-1", "a-2"})
	assert.Assert(t, silent >= 5, "%d heartbeats named nobody", silent)
}

func TestAWordThatWasOverwrittenIsToldAgain(t *testing.T) {
	t.Parallel()
	held := newShelf()
	held.put("u", 1)
	stream := follow(t, serveWith(t, responder.Settings{Holdings: held, Pulse: 100 * time.Millisecond}), 1)
	began := time.Now()
	for told := 0; told < 2; {
		reply, err := stream.Recv()
		assert.NilError(t, err)
		told += len(reply.GetHoldings().GetHoldings())
	}
	assert.Assert(t, time.Since(began) < 10*time.Second)
}
