package encoder_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/replicator"
)

func TestEnvelopeRoundTrip(t *testing.T) {
	stamp := time.Date(2026, 5, 1, 12, 0, 0, 7, time.UTC)
	configuration := replicator.Configuration{Members: []replicator.Member{
		{ID: replicator.Identity{Name: "a", Disk: "1"}, Address: "127.0.0.1:1", Role: replicator.Voter},
		{ID: replicator.Identity{Name: "b", Disk: "2"}, Address: "127.0.0.1:2", Role: replicator.Learner},
	}}
	entries := []replicator.Entry{
		{Index: 4, Term: 2, Stamp: stamp, Payload: replicator.NoOp{}},
		{Index: 5, Term: 2, Stamp: stamp, Payload: replicator.Opaque{Data: []byte("x")}},
		{Index: 6, Term: 2, Stamp: stamp, Payload: replicator.Reconfigured{Configuration: configuration}},
	}
	snapshot := replicator.Snapshot{Index: 3, Term: 1, Stamp: stamp, Configuration: configuration}
	messages := map[string]replicator.Message{
		"vote-request":   replicator.VoteRequest{Pre: true, LastIndex: 1, LastTerm: 2, Transfer: true},
		"vote-reply":     replicator.VoteReply{Pre: true, Granted: true, Recovering: true},
		"append-request": replicator.AppendRequest{PreviousIndex: 3, PreviousTerm: 1, Entries: entries, Committed: 2, Sent: 9},
		"append-reply":   replicator.AppendReply{Accepted: true, Match: 1, Previous: 2, Next: 3, Sent: 4},
		"snapshot-chunk": replicator.SnapshotChunk{Snapshot: snapshot, Offset: 1, Total: 2, Data: []byte("y"), Sent: 3},
		"snapshot-reply": replicator.SnapshotReply{Index: 1, Offset: 2, Sent: 3},
		"stand-now":      replicator.TimeoutNow{},
	}
	for name, message := range messages {
		t.Run(name, func(t *testing.T) {
			envelope := replicator.Envelope{
				Group:   "g",
				From:    replicator.Identity{Name: "a", Disk: "1"},
				To:      replicator.Identity{Name: "b", Disk: "2"},
				Term:    7,
				Message: message,
			}
			decoded, err := encoder.DecodeEnvelope(encoder.EncodeEnvelope(envelope))
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, envelope)
		})
	}
}
