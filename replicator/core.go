package replicator

import (
	"math/rand/v2"
	"time"
)

// state is the Raft state of a member.
type state int

const (
	stateFollower state = iota
	// statePreCandidate collects pre-votes to learn whether it could win an
	// election.
	statePreCandidate
	stateCandidate
	stateLeader
)

// pendingWrite is a write that has not been reported as synced.
type pendingWrite struct {
	sequence uint64
	// lastIndex is the last log index that the write makes durable, or zero.
	lastIndex uint64
	since     time.Time
}

// heldMessage is a message that is sent after the write with the sequence
// number is synced.
type heldMessage struct {
	sequence uint64
	envelope Envelope
}

// indexedConfiguration is a configuration and the index of its log entry.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// Core is the consensus state machine of one member. It is not safe for
// concurrent use.
type Core struct {
	id         Identity
	timing     Timing
	chunkBytes int
	random     *rand.Rand
	start      time.Time
	now        time.Time

	hardState      HardState
	log            log
	snapshot       Snapshot
	configurations []indexedConfiguration
	committed      uint64
	applied        uint64

	state  state
	leader Identity
	// lastLeaderContact is the time of the last message from a leader. It starts
	// at the time of the restart, because contacts before it are not persisted.
	lastLeaderContact time.Time
	// leaderSeen and campaigned report whether this member has received a message
	// from a leader, or has campaigned, since it started.
	leaderSeen bool
	campaigned bool
	// recoveringVoters are the voters that reported to this pre-candidate that
	// they are recovering. reportedRecovering is the term in which this member
	// reported that, by candidate.
	recoveringVoters   map[Identity]bool
	reportedRecovering map[Identity]uint64
	// electionDeadline is when to start a pre-vote, nextPreVote when to resend
	// requests to voters that have not granted one.
	electionDeadline time.Time
	nextPreVote      time.Time
	votes            map[Identity]bool
	// transferring is set while campaigning at the request of the old leader.
	transferring bool

	leaderState leaderState
	incoming    incomingSnapshot

	writeSequence uint64
	// hardStateSequence is the sequence number of the last write with a hard
	// state.
	hardStateSequence uint64
	syncedSequence    uint64
	pendingWrites     []pendingWrite
	heldMessages      []heldMessage

	// Output of the current step.
	out            Output
	hardStateDirty bool
	write          Write
	afterSync      []Envelope
}

// New returns a Core that starts as a follower without a leader.
func New(settings Settings, now time.Time) *Core {
	c := &Core{
		id:                 settings.ID,
		timing:             settings.Timing,
		chunkBytes:         settings.ChunkBytes,
		random:             rand.New(rand.NewPCG(settings.Seed, uint64(len(settings.ID.Disk)))),
		start:              now,
		now:                now,
		hardState:          settings.HardState,
		snapshot:           settings.Snapshot,
		committed:          settings.Snapshot.Index,
		applied:            settings.Snapshot.Index,
		lastLeaderContact:  now,
		reportedRecovering: map[Identity]uint64{},
	}
	if c.chunkBytes == 0 {
		c.chunkBytes = DefaultChunkBytes
	}
	c.log.reset(settings.Snapshot.Index, settings.Snapshot.Term)
	c.log.append(settings.Entries...)
	c.log.syncedIndex = c.log.lastIndex()
	c.configurations = []indexedConfiguration{{settings.Snapshot.Index, settings.Snapshot.Configuration}}
	c.recordConfigurations(settings.Entries)
	c.electionDeadline = c.recoveryDeadline()
	if c.isOnlyVoter() {
		c.electionDeadline = now
	}
	return c
}

// isOnlyVoter reports whether this member is the only voter, in which case no
// other member can hold a lease.
func (c *Core) isOnlyVoter() bool {
	return c.configuration().Voters() == 1 && c.configuration().IsVoter(c.id)
}

// Step handles an event and returns the resulting output. A now before that of
// an earlier call is replaced by the latest one.
func (c *Core) Step(event Event, now time.Time) Output {
	if now.After(c.now) {
		c.now = now
	}
	c.out = Output{}
	switch event := event.(type) {
	case Tick:
		c.tick()
	case Received:
		c.receive(event.Envelope)
	case Synced:
		c.handleSynced(event.Sequence)
	case Propose:
		c.handlePropose(event.Data)
	case Read:
		c.handleRead(event.ID)
	case Reconfigure:
		c.handleReconfigure(event.Change)
	case Transfer:
		c.handleTransfer(event.Target)
	case Compact:
		c.handleCompact(event.Index, event.Data)
	}
	c.finish()
	return c.out
}

func (c *Core) tick() {
	if c.state == stateLeader {
		c.tickLeader()
		return
	}
	if !c.mayCampaign() {
		return
	}
	if !c.now.Before(c.electionDeadline) {
		c.startPreVote()
		return
	}
	if c.state == statePreCandidate && !c.now.Before(c.nextPreVote) {
		c.sendPreVoteRequests()
	}
}

// configuration returns the latest configuration in the log, committed or not.
func (c *Core) configuration() Configuration {
	return c.configurations[len(c.configurations)-1].configuration
}

// configurationAt returns the configuration in force at an index.
func (c *Core) configurationAt(index uint64) Configuration {
	found := c.configurations[0].configuration
	for _, p := range c.configurations {
		if p.index <= index {
			found = p.configuration
		}
	}
	return found
}

func (c *Core) recordConfigurations(entries []Entry) {
	for _, entry := range entries {
		if changed, ok := entry.Payload.(Reconfigured); ok {
			c.configurations = append(c.configurations, indexedConfiguration{entry.Index, changed.Configuration})
		}
	}
}

// truncateConfigurations removes the configurations of entries from an index
// on.
func (c *Core) truncateConfigurations(from uint64) {
	for len(c.configurations) > 1 && c.configurations[len(c.configurations)-1].index >= from {
		c.configurations = c.configurations[:len(c.configurations)-1]
	}
}

func (c *Core) resetElectionTimer() {
	spread := c.timing.ElectionMax - c.timing.ElectionMin
	wait := c.timing.ElectionMin + time.Duration(c.random.Int64N(int64(spread)+1))
	c.electionDeadline = c.now.Add(wait)
}

func (c *Core) setHardState(term uint64, vote Identity) {
	c.hardState.Term, c.hardState.Vote = term, vote
	c.hardStateDirty = true
}

func (c *Core) joinGroup(group string) {
	if c.hardState.Group == "" && group != "" {
		c.hardState.Group = group
		c.hardStateDirty = true
	}
}

// becomeFollower ends a leadership or candidacy and follows the leader, which is
// zero when unknown.
func (c *Core) becomeFollower(term uint64, leader Identity) {
	if term > c.hardState.Term {
		c.setHardState(term, Identity{})
	}
	if c.state == stateLeader {
		c.clearLeaderState()
	}
	if c.state != stateFollower {
		c.resetElectionTimer()
	}
	c.state = stateFollower
	c.leader = leader
	c.votes = nil
	c.transferring = false
}

// send adds a message to the output of the current step.
func (c *Core) send(to Identity, message Message) {
	c.out.Messages = append(c.out.Messages, c.envelope(to, c.hardState.Term, message))
}

// sendAfterSync sends a message once all writes so far, including that of the
// current step, are synced.
func (c *Core) sendAfterSync(to Identity, message Message) {
	c.afterSync = append(c.afterSync, c.envelope(to, c.hardState.Term, message))
}

func (c *Core) envelope(to Identity, term uint64, message Message) Envelope {
	return Envelope{Group: c.hardState.Group, From: c.id, To: to, Term: term, Message: message}
}
