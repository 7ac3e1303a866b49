package conductor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/recorder"
	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

const (
	// randomNameBytes is the length of the random part of identities.
	randomNameBytes = 8
	// formationInterval is how often a member without a group asks its peers.
	formationInterval = 250 * time.Millisecond
)

// open loads the folder and makes the core.
func (c *Conductor) open() error {
	loaded := recorder.Loaded{Disk: randomName()}
	if c.config.Folder != "" {
		disk, found, err := recorder.Open(recorder.Settings{Folder: c.config.Folder, Files: c.config.Files})
		if err != nil {
			return err
		}
		if found.CutBytes > 0 {
			c.config.Log.Warn("torn end of the log was cut", zap.Int("bytes", found.CutBytes))
		}
		loaded = found
		c.recorder = disk
		c.writer = newWriter(disk, c.synced)
		go c.writer.run()
	}
	c.self = replicator.Identity{Name: c.config.Name, Disk: loaded.Disk}
	state, err := c.stateOf(loaded.Snapshot)
	if err != nil {
		c.abandon()
		return &UnreadableEntryError{Index: loaded.Snapshot.Index, Cause: err}
	}
	c.state = state
	c.applied = loaded.Snapshot.Index
	c.core = c.newCore(loaded)
	return nil
}

// abandon lets go of the folder after a failed opening.
func (c *Conductor) abandon() {
	if c.recorder == nil {
		return
	}
	c.writer.end()
	_ = c.recorder.Close()
}

func (c *Conductor) newCore(loaded recorder.Loaded) *replicator.Core {
	timing := c.config.Timing
	return replicator.New(replicator.Settings{
		ID: c.self,
		Timing: replicator.Timing{
			Heartbeat:   timing.Heartbeat,
			ElectionMin: timing.ElectionMin,
			ElectionMax: timing.ElectionMax,
			Lease:       timing.Lease,
		},
		Seed:      seedOf(c.self.Disk),
		HardState: loaded.Hard,
		Snapshot:  loaded.Snapshot,
		Entries:   loaded.Entries,
	}, timekeeper.Now())
}

// seedOf makes a seed of an identity.
func seedOf(disk string) uint64 {
	seed := uint64(0)
	for _, one := range []byte(disk) {
		seed = seed*131 + uint64(one)
	}
	return seed
}

func randomName() string {
	random := make([]byte, randomNameBytes)
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

func (c *Conductor) selfMember() replicator.Member {
	return replicator.Member{ID: c.self, Address: c.config.Address, Role: replicator.Voter}
}

// found begins a new group with the members, if this member has none.
func (c *Conductor) found(members []replicator.Member) {
	if c.core.Status().Group != "" {
		return
	}
	hard, entries := replicator.Bootstrap(randomName(), members, timekeeper.Now())
	if c.recorder != nil {
		if err := c.recorder.Append(replicator.Write{HardState: &hard, Entries: entries}); err != nil {
			c.fail(err)
			return
		}
		if err := c.recorder.Sync(); err != nil {
			c.fail(err)
			return
		}
	}
	c.state = applier.New()
	c.core = c.newCore(recorder.Loaded{Hard: hard, Entries: entries})
	c.config.Log.Info("new group", zap.String("group", hard.Group), zap.Int("members", len(members)))
	c.settle()
}

// runFormation lets the first of the peers begin a group once all of them
// answer and none of them has one.
func (c *Conductor) runFormation() {
	for c.groupName() == "" {
		if members, ok := c.formation(); ok {
			asked := &foundCall{members: members, answer: make(chan struct{})}
			if c.ask(context.Background(), asked) != nil {
				return
			}
		}
		select {
		case <-c.stopped:
			return
		case <-time.After(formationInterval):
		}
	}
}

// formation asks all peers who they are. It is false where this member must
// not begin a group.
func (c *Conductor) formation() ([]replicator.Member, bool) {
	if c.config.Joins {
		return nil, false
	}
	members := []replicator.Member{c.selfMember()}
	for _, peer := range c.config.others() {
		if peer.Name < c.config.Name {
			return nil, false
		}
	}
	for _, peer := range c.config.others() {
		known, err := c.messenger.Introduce(context.Background(), peer.Address)
		if err != nil || known.Group != "" || known.ID.Name != peer.Name {
			return nil, false
		}
		members = append(members, replicator.Member{ID: known.ID, Address: peer.Address, Role: replicator.Voter})
	}
	slices.SortFunc(members, func(a, b replicator.Member) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	for at := range members {
		if at >= c.wantedVoters() {
			members[at].Role = replicator.Learner
		}
	}
	return members, true
}

// wantedVoters is how many voters the group should have.
func (c *Conductor) wantedVoters() int {
	if c.config.Voters > 0 {
		return c.config.Voters
	}
	return len(c.config.others()) + 1
}
