package replicator

import (
	"math/rand/v2"
	"time"
)

// position is what a member is doing for the group at the moment.
type position int

const (
	following position = iota
	// canvassing asks whether an election could be won.
	canvassing
	standing
	leading
)

// pendingWrite is a write that is not known to be on the disk.
type pendingWrite struct {
	sequence uint64
	// last is the last index that it makes durable; zero for none.
	last  uint64
	since time.Time
}

// heldMessage waits for a write.
type heldMessage struct {
	sequence uint64
	envelope Envelope
}

// placed is a configuration with the index of its entry.
type placed struct {
	index         uint64
	configuration Configuration
}

// Core is the consensus state of one member. It is not safe for concurrent
// use.
type Core struct {
	id     Identity
	timing Timing
	chunk  int
	random *rand.Rand
	start  time.Time
	now    time.Time

	hard           HardState
	log            log
	snapshot       Snapshot
	configurations []placed
	committed      uint64
	applied        uint64

	position position
	leader   Identity
	// heard is when a leader was last heard; a restart counts as hearing one,
	// because what was heard before it is forgotten.
	heard time.Time
	// heardLeader is true once a leader was heard since the start, and stood once
	// this member stood for election.
	heardLeader bool
	stood       bool
	// freshVoters have told this candidate that they heard no leader since their
	// start; toldFresh is the term in which this member told that to a candidate.
	freshVoters map[Identity]bool
	toldFresh   map[Identity]uint64
	// electionDue is when to stand for election, nextCanvass when to ask
	// again those that have not granted.
	electionDue time.Time
	nextCanvass time.Time
	votes       map[Identity]bool
	// handover is set while standing on the word of the old leader.
	handover bool

	lead     lead
	incoming incoming

	writeSequence uint64
	// hardSequence is the last write with a hard state.
	hardSequence uint64
	syncSequence uint64
	pending      []pendingWrite
	held         []heldMessage

	// staged for the output of the current step.
	out       Output
	hardDirty bool
	write     Write
	afterSync []Envelope
}

// New returns a Core that follows nobody yet.
func New(settings Settings, now time.Time) *Core {
	c := &Core{
		id:        settings.ID,
		timing:    settings.Timing,
		chunk:     settings.Chunk,
		random:    rand.New(rand.NewPCG(settings.Seed, uint64(len(settings.ID.Disk)))),
		start:     now,
		now:       now,
		hard:      settings.Hard,
		snapshot:  settings.Snapshot,
		committed: settings.Snapshot.Index,
		applied:   settings.Snapshot.Index,
		heard:     now,
		toldFresh: map[Identity]uint64{},
	}
	if c.chunk == 0 {
		c.chunk = StandardChunk
	}
	c.log.reset(settings.Snapshot.Index, settings.Snapshot.Term)
	c.log.append(settings.Entries...)
	c.log.synced = c.log.last()
	c.configurations = []placed{{settings.Snapshot.Index, settings.Snapshot.Configuration}}
	c.noteConfigurations(settings.Entries)
	c.electionDue = c.recoveryDue()
	if c.alone() {
		c.electionDue = now
	}
	return c
}

// alone says whether this member is the only voter, so that nobody else may
// hold a lease.
func (c *Core) alone() bool {
	return c.configuration().Voters() == 1 && c.configuration().Votes(c.id)
}

// Step takes in an event at a time that never steps back.
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
		c.synced(event.Sequence)
	case Propose:
		c.propose(event.Data)
	case Read:
		c.read(event.ID)
	case Reconfigure:
		c.reconfigure(event.Change)
	case Transfer:
		c.transfer(event.Target)
	case Compact:
		c.compact(event.Index, event.Data)
	}
	c.finish()
	return c.out
}

func (c *Core) tick() {
	if c.position == leading {
		c.tickLeader()
		return
	}
	if !c.mayStand() {
		return
	}
	if !c.now.Before(c.electionDue) {
		c.canvass()
		return
	}
	if c.position == canvassing && !c.now.Before(c.nextCanvass) {
		c.askAgain()
	}
}

// configuration is the latest one in the log, committed or not.
func (c *Core) configuration() Configuration {
	return c.configurations[len(c.configurations)-1].configuration
}

// configurationAt is the one in force at an index.
func (c *Core) configurationAt(index uint64) Configuration {
	found := c.configurations[0].configuration
	for _, p := range c.configurations {
		if p.index <= index {
			found = p.configuration
		}
	}
	return found
}

func (c *Core) noteConfigurations(entries []Entry) {
	for _, entry := range entries {
		if changed, ok := entry.Payload.(Reconfigured); ok {
			c.configurations = append(c.configurations, placed{entry.Index, changed.Configuration})
		}
	}
}

// forgetConfigurations drops those of truncated entries.
func (c *Core) forgetConfigurations(from uint64) {
	for len(c.configurations) > 1 && c.configurations[len(c.configurations)-1].index >= from {
		c.configurations = c.configurations[:len(c.configurations)-1]
	}
}

func (c *Core) restartElection() {
	spread := c.timing.ElectionMax - c.timing.ElectionMin
	wait := c.timing.ElectionMin + time.Duration(c.random.Int64N(int64(spread)+1))
	c.electionDue = c.now.Add(wait)
}

func (c *Core) setHard(term uint64, vote Identity) {
	c.hard.Term, c.hard.Vote = term, vote
	c.hardDirty = true
}

func (c *Core) joinGroup(group string) {
	if c.hard.Group == "" && group != "" {
		c.hard.Group = group
		c.hardDirty = true
	}
}

// follow gives up whatever this member was doing.
func (c *Core) follow(term uint64, leader Identity) {
	if term > c.hard.Term {
		c.setHard(term, Identity{})
	}
	if c.position == leading {
		c.endLead()
	}
	if c.position != following {
		c.restartElection()
	}
	c.position = following
	c.leader = leader
	c.votes = nil
	c.handover = false
}

// send puts a message into the output at once.
func (c *Core) send(to Identity, message Message) {
	c.out.Messages = append(c.out.Messages, c.envelope(to, c.hard.Term, message))
}

// sendSynced sends a message once all writes so far are on the disk.
func (c *Core) sendSynced(to Identity, message Message) {
	c.afterSync = append(c.afterSync, c.envelope(to, c.hard.Term, message))
}

func (c *Core) envelope(to Identity, term uint64, message Message) Envelope {
	return Envelope{Group: c.hard.Group, From: c.id, To: to, Term: term, Message: message}
}
