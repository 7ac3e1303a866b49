package replicator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/replicator"
)

// coreFixture is a single core that receives its events from a test.
type coreFixture struct {
	core *replicator.Core
	now  time.Time
}

var (
	memberA = replicator.Identity{Name: "a", Disk: "1"}
	memberB = replicator.Identity{Name: "b", Disk: "2"}
	memberC = replicator.Identity{Name: "c", Disk: "3"}
)

func threeVoters() replicator.Configuration {
	return replicator.Configuration{Members: []replicator.Member{
		{ID: memberA, Role: replicator.Voter},
		{ID: memberB, Role: replicator.Voter},
		{ID: memberC, Role: replicator.Voter},
	}}
}

// newCoreFixture returns the core of member a of three voters in term 2. Its
// snapshot is at index 1, and its log has the given entries.
func newCoreFixture(entries ...replicator.Entry) *coreFixture {
	return &coreFixture{now: epoch, core: replicator.New(replicator.Settings{
		ID:        memberA,
		Timing:    timing,
		HardState: replicator.HardState{Group: groupID, Term: 2},
		Snapshot:  replicator.Snapshot{Index: 1, Term: 1, Configuration: threeVoters()},
		Entries:   entries,
	}, epoch)}
}

// step passes an event and syncs the resulting writes.
func (b *coreFixture) step(event replicator.Event) replicator.Output {
	b.now = b.now.Add(time.Millisecond)
	out := b.core.Step(event, b.now)
	messages := out.Messages
	for write := out.Write; write != nil; {
		next := b.core.Step(replicator.Synced{Sequence: write.Sequence}, b.now)
		messages = append(messages, next.Messages...)
		out.Apply = append(out.Apply, next.Apply...)
		out.Reads = append(out.Reads, next.Reads...)
		write = next.Write
	}
	out.Messages = messages
	return out
}

// receive passes a message from another member in the core's term.
func (b *coreFixture) receive(from replicator.Identity, message replicator.Message) replicator.Output {
	return b.receiveInTerm(from, b.core.Status().Term, message)
}

func (b *coreFixture) receiveInTerm(from replicator.Identity, term uint64, message replicator.Message) replicator.Output {
	return b.step(replicator.Received{Envelope: replicator.Envelope{
		Group: groupID, From: from, To: memberA, Term: term, Message: message,
	}})
}

// elect makes the core the leader of a new term with member b's vote.
func (b *coreFixture) elect(t *testing.T) replicator.Output {
	t.Helper()
	b.now = b.now.Add(2 * timing.ElectionMax)
	b.step(replicator.Tick{})
	b.receiveInTerm(memberB, b.core.Status().Term+1, replicator.VoteReply{Pre: true, Granted: true})
	out := b.receive(memberB, replicator.VoteReply{Granted: true})
	assert.Assert(t, b.core.Status().Leading)
	return out
}

// lastSentClock returns the leader's clock in the last append request to a member.
func lastSentClock(out replicator.Output, to replicator.Identity) time.Duration {
	sent := time.Duration(0)
	for _, envelope := range out.Messages {
		if request, ok := envelope.Message.(replicator.AppendRequest); ok && envelope.To == to {
			sent = request.Sent
		}
	}
	return sent
}

func oldTermEntry(index uint64) replicator.Entry {
	return replicator.Entry{Index: index, Term: 2, Stamp: epoch, Payload: replicator.Opaque{Data: []byte{1}}}
}

// An entry of an earlier term that a quorum has is not committed before one of the
// leader's own term, because another leader might still replace it.
func TestEntryOfOldTermCommitsOnlyWithCurrentTerm(t *testing.T) {
	b := newCoreFixture(oldTermEntry(2))
	out := b.elect(t)
	sent := lastSentClock(out, memberB)
	b.receive(memberB, replicator.AppendReply{Accepted: true, Match: 2, Sent: sent})
	assert.Equal(t, b.core.Status().Committed, uint64(1))
	b.receive(memberB, replicator.AppendReply{Accepted: true, Match: 3, Sent: sent})
	assert.Equal(t, b.core.Status().Committed, uint64(3))
}

// A new leader may not know of all committed entries, so it answers no reads and
// holds no lease before the first commit of its term.
func TestReadsWaitForCommitInCurrentTerm(t *testing.T) {
	b := newCoreFixture(oldTermEntry(2))
	b.elect(t)
	assert.Equal(t, len(b.step(replicator.Read{ID: 7}).Reads), 0)
	b.now = b.now.Add(timing.Heartbeat)
	sent := lastSentClock(b.step(replicator.Tick{}), memberB)
	out := b.receive(memberB, replicator.AppendReply{Previous: 2, Next: 2, Sent: sent})
	assert.Equal(t, len(out.Reads), 0)
	assert.Assert(t, b.core.Status().LeaseUntil.IsZero())
	out = b.receive(memberB, replicator.AppendReply{Accepted: true, Match: 3, Sent: sent})
	assert.DeepEqual(t, out.Reads, []replicator.ReadResult{{ID: 7, Index: 3}})
	assert.Assert(t, !b.core.Status().LeaseUntil.IsZero())
}

// Before the first commit of its term, a leader may lack a configuration that
// another leader has committed, and the quorums of the two changes might not
// overlap.
func TestReconfigureNeedsCommitInCurrentTerm(t *testing.T) {
	b := newCoreFixture(oldTermEntry(2))
	out := b.elect(t)
	remove := replicator.Reconfigure{Change: replicator.Remove{ID: memberC}}
	assert.ErrorType(t, b.step(remove).Refusal, &replicator.NotReadyError{})
	b.receive(memberB, replicator.AppendReply{Accepted: true, Match: 3, Sent: lastSentClock(out, memberB)})
	assert.Assert(t, b.step(remove).Proposed != nil)
	assert.ErrorType(t, b.step(remove).Refusal, &replicator.NotReadyError{})
}

// After a restart of all voters no lease can be held, so they need not wait for
// one to expire. When they did, the system refused every request for 0.8 s after
// all processes had been killed, for lack of a leader.
func TestRestartOfAllVotersElectsAtOnce(t *testing.T) {
	cases := map[string]struct {
		stayDown int
		elected  bool
	}{
		"all restart":    {0, true},
		"one stays down": {1, false},
		"two stay down":  {2, false},
		"no restart":     {-1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGroup(5, 5, 0)
			g.run(5 * time.Second)
			assert.Equal(t, len(g.leadingNodes()), 1)
			for i, n := range g.nodes {
				if c.stayDown < 0 {
					break
				}
				g.crash(n)
				if i >= c.stayDown {
					g.start(n)
				}
			}
			g.run(g.now + timing.ElectionMin - timing.Heartbeat)
			assert.Equal(t, len(g.leadingNodes()) == 1, c.elected)
			g.run(g.now + 10*time.Second)
			assert.Equal(t, len(g.leadingNodes()), 1)
			assert.Equal(t, g.failure, "")
		})
	}
}

// A removed member, which no longer receives heartbeats, can't depose the leader
// that the others follow.
func TestRemovedMemberDoesNotDisturb(t *testing.T) {
	g := newGroup(3, 3, 0)
	g.run(3 * time.Second)
	leader := g.leadingNodes()[0]
	var removed *node
	for _, n := range g.nodes {
		if n != leader {
			removed = n
		}
	}
	g.step(leader, replicator.Reconfigure{Change: replicator.Remove{ID: removed.id}})
	g.run(30 * time.Second)
	assert.Equal(t, g.failure, "")
	assert.Equal(t, leader.status.Configuration.Voters(), 2)
	assert.Assert(t, leader.status.Leading)
	assert.Equal(t, removed.status.Term, leader.status.Term)
	replies := 0
	for _, pre := range []bool{true, false} {
		out := g.step(leader, replicator.Received{Envelope: replicator.Envelope{
			Group: groupID, From: removed.id, To: leader.id, Term: leader.status.Term + 5,
			Message: replicator.VoteRequest{Pre: pre, LastIndex: 1000, LastTerm: 1000},
		}})
		replies += len(out.Messages)
	}
	assert.Equal(t, replies, 0)
	assert.Assert(t, leader.status.Leading)
}

// A member ignores messages to the identity of its previous disk and vote requests
// of other groups.
func TestMessagesForOtherDisksOrGroupsAreIgnored(t *testing.T) {
	request := replicator.VoteRequest{LastIndex: 9, LastTerm: 9}
	envelopes := map[string]replicator.Envelope{
		"old disk":    {Group: groupID, To: replicator.Identity{Name: "a", Disk: "0"}},
		"other group": {Group: "other", To: memberA},
	}
	for name, envelope := range envelopes {
		t.Run(name, func(t *testing.T) {
			b := newCoreFixture()
			b.now = b.now.Add(timing.ElectionMin)
			envelope.From, envelope.Term, envelope.Message = memberB, 9, request
			out := b.step(replicator.Received{Envelope: envelope})
			assert.Equal(t, len(out.Messages), 0)
			assert.Equal(t, b.core.Status().Term, uint64(2))
		})
	}
}

// A leader whose disk does not complete a write steps down, even while other
// voters reply to its heartbeats.
func TestStalledDiskEndsLeadership(t *testing.T) {
	b := newCoreFixture()
	out := b.elect(t)
	b.receive(memberB, replicator.AppendReply{Accepted: true, Match: 2, Sent: lastSentClock(out, memberB)})
	unsynced := b.core.Step(replicator.Propose{Data: [][]byte{{1}}}, b.now)
	assert.Assert(t, unsynced.Write != nil)
	for end := b.now.Add(2 * timing.ElectionMax); b.now.Before(end); b.now = b.now.Add(timing.Heartbeat) {
		out := b.core.Step(replicator.Tick{}, b.now)
		b.core.Step(replicator.Received{Envelope: replicator.Envelope{
			Group: groupID, From: memberB, To: memberA, Term: b.core.Status().Term,
			Message: replicator.AppendReply{Accepted: true, Match: 2, Sent: max(1, lastSentClock(out, memberB))},
		}}, b.now)
	}
	assert.Assert(t, !b.core.Status().Leading)
}

// A learner that is a few entries behind can be promoted while proposals continue.
func TestLearnerIsPromotedUnderLoad(t *testing.T) {
	b := newCoreFixture()
	out := b.elect(t)
	sent := lastSentClock(out, memberB)
	b.receive(memberB, replicator.AppendReply{Accepted: true, Match: 2, Sent: sent})
	learner := replicator.Identity{Name: "d", Disk: "4"}
	added := b.step(replicator.Reconfigure{Change: replicator.AddLearner{Member: replicator.Member{ID: learner}}})
	assert.Assert(t, added.Proposed != nil)
	promote := replicator.Reconfigure{Change: replicator.Promote{ID: learner}}
	for index := uint64(3); index < 3000; index++ {
		b.step(replicator.Propose{Data: [][]byte{{1}}})
		b.receive(memberB, replicator.AppendReply{Accepted: true, Match: index, Sent: sent})
		if index == 2500 {
			assert.ErrorType(t, b.step(promote).Refusal, &replicator.NotReadyError{})
			b.receive(learner, replicator.AppendReply{Accepted: true, Match: index - 1500, Sent: sent})
			assert.ErrorType(t, b.step(promote).Refusal, &replicator.NotReadyError{})
		}
	}
	b.receive(learner, replicator.AppendReply{Accepted: true, Match: 2990, Sent: sent})
	assert.Assert(t, b.step(promote).Proposed != nil)
}

// Entries are not resent to a member that does not reply. Otherwise they would
// queue up and all be sent once it is reachable again.
func TestEntriesAreSentOnceToSilentMember(t *testing.T) {
	b := newCoreFixture(oldTermEntry(2))
	b.elect(t)
	entries := 0
	for range 20 {
		b.now = b.now.Add(timing.Heartbeat)
		for _, out := range []replicator.Output{b.step(replicator.Tick{}), b.step(replicator.Propose{Data: [][]byte{{1}}})} {
			for _, envelope := range out.Messages {
				request, ok := envelope.Message.(replicator.AppendRequest)
				if ok && envelope.To == memberC {
					entries += len(request.Entries)
				}
			}
			b.receive(memberB, replicator.AppendReply{Accepted: true, Match: b.core.Status().LastIndex, Sent: lastSentClock(out, memberB)})
		}
	}
	assert.Assert(t, b.core.Status().Leading)
	assert.Assert(t, entries <= 20, "%d entries sent to a silent member", entries)
}

// Entries that were lost are resent when the member replies again.
func TestLostEntriesAreSentAgain(t *testing.T) {
	b := newCoreFixture(oldTermEntry(2))
	b.elect(t)
	b.now = b.now.Add(timing.Heartbeat)
	heartbeatSent := lastSentClock(b.step(replicator.Tick{}), memberC)
	out := b.receive(memberC, replicator.AppendReply{Accepted: true, Match: 2, Sent: heartbeatSent})
	var resent []replicator.Entry
	for _, envelope := range out.Messages {
		if request, ok := envelope.Message.(replicator.AppendRequest); ok && envelope.To == memberC {
			resent = append(resent, request.Entries...)
		}
	}
	assert.Equal(t, len(resent), 1)
	assert.Equal(t, resent[0].Index, uint64(3))
}

// sentDataOffsets returns the offsets of the chunks with data sent to a member.
func sentDataOffsets(out replicator.Output, to replicator.Identity) []int {
	var offsets []int
	for _, envelope := range out.Messages {
		chunk, ok := envelope.Message.(replicator.SnapshotChunk)
		if ok && envelope.To == to && len(chunk.Data) > 0 {
			offsets = append(offsets, chunk.Offset)
		}
	}
	return offsets
}

// lastChunkClock returns the leader's clock in the last chunk to a member.
func lastChunkClock(out replicator.Output, to replicator.Identity) time.Duration {
	sent := time.Duration(0)
	for _, envelope := range out.Messages {
		if chunk, ok := envelope.Message.(replicator.SnapshotChunk); ok && envelope.To == to {
			sent = chunk.Sent
		}
	}
	return sent
}

// A chunk is sent once to a member that does not reply, and again if a reply to a
// later message requests it.
func TestChunkIsSentOnceToSilentMember(t *testing.T) {
	b := &coreFixture{now: epoch, core: replicator.New(replicator.Settings{
		ID: memberA, Timing: timing, ChunkBytes: 4,
		HardState: replicator.HardState{Group: groupID, Term: 2},
		Snapshot:  replicator.Snapshot{Index: 1, Term: 1, Configuration: threeVoters(), Data: []byte("snapshot")},
	}, epoch)}
	out := b.elect(t)
	out = b.receive(memberC, replicator.AppendReply{Previous: 1, Next: 1, Sent: lastSentClock(out, memberC)})
	assert.DeepEqual(t, sentDataOffsets(out, memberC), []int{0})
	first := lastChunkClock(out, memberC)
	for range 10 {
		b.now = b.now.Add(timing.Heartbeat)
		out = b.step(replicator.Tick{})
		b.receive(memberB, replicator.AppendReply{Accepted: true, Match: 2, Sent: lastSentClock(out, memberB)})
		assert.Equal(t, len(sentDataOffsets(out, memberC)), 0)
	}
	later := lastChunkClock(out, memberC)
	assert.Assert(t, later > first)
	out = b.receive(memberC, replicator.SnapshotReply{Index: 1, Offset: 0, Sent: first})
	assert.Equal(t, len(sentDataOffsets(out, memberC)), 0)
	out = b.receive(memberC, replicator.SnapshotReply{Index: 1, Offset: 0, Sent: later})
	assert.DeepEqual(t, sentDataOffsets(out, memberC), []int{0})
	out = b.receive(memberC, replicator.SnapshotReply{Index: 1, Offset: 4, Sent: lastChunkClock(out, memberC)})
	assert.DeepEqual(t, sentDataOffsets(out, memberC), []int{4})
}
