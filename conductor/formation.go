package conductor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
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
	// randomIDBytes is the length of a random identity before hex encoding.
	randomIDBytes = 8
	// formationInterval is how often a member without a group contacts its peers.
	formationInterval = 250 * time.Millisecond
)

// open loads the folder and creates the core.
func (c *Conductor) open() error {
	loaded := recorder.Loaded{Disk: randomID()}
	c.founders = c.config.founders()
	if c.config.Folder != "" {
		opened, stored, err := c.openFolder()
		if err != nil {
			return err
		}
		// what the folder held before may include the group's only copy
		c.config.JoinOnly = c.config.JoinOnly || stored.SetAside
		c.founders = foundersOf(stored, c.config)
		if stored.CutBytes > 0 {
			c.config.Log.Warn("truncated incomplete write at end of log", zap.Int("bytes", stored.CutBytes))
		}
		loaded = stored
		c.recorder = opened
		c.writer = newWriter(opened, c.synced)
		go c.writer.run()
	}
	c.self = replicator.Identity{Name: c.config.Name, Disk: loaded.Disk}
	state, err := c.decodeState(loaded.Snapshot)
	if err != nil {
		c.releaseFolder()
		return &UnreadableEntryError{Index: loaded.Snapshot.Index, Cause: err}
	}
	c.state = state
	c.applied = loaded.Snapshot.Index
	c.core = c.newCore(loaded)
	return nil
}

// openFolder opens the data folder. The content of a damaged folder is set aside if
// there are other members from which this one can get it again.
func (c *Conductor) openFolder() (*recorder.Recorder, recorder.Loaded, error) {
	settings := recorder.Settings{Folder: c.config.Folder, Files: c.config.Files}
	for _, founder := range c.founders {
		settings.Founders = append(settings.Founders, recorder.Founder{Name: founder.Name, Address: founder.Address})
	}
	opened, stored, err := recorder.Open(settings)
	var damage *recorder.CorruptionError
	if !errors.As(err, &damage) || (len(c.config.others()) == 0 && !c.config.JoinOnly) {
		return opened, stored, err
	}
	c.config.Log.Error("data folder damaged; setting its files aside to join the group with a new identity",
		zap.String("folder", c.config.Folder), zap.String("file", damage.File), zap.String("reason", damage.Reason))
	if err := recorder.SetAside(settings); err != nil {
		return nil, recorder.Loaded{}, err
	}
	return recorder.Open(settings)
}

// foundersOf returns the members that form a group with this one, or none if it must not. A
// folder that was created at the first start and never held a group shows that this start has
// not ended, whatever the settings say now.
func foundersOf(stored recorder.Loaded, config Config) []Member {
	if len(stored.Founders) == 0 {
		return config.founders()
	}
	var founders []Member
	for _, founder := range stored.Founders {
		founders = append(founders, Member{Name: founder.Name, Address: founder.Address})
	}
	return founders
}

// releaseFolder closes the folder after a failure to open the member.
func (c *Conductor) releaseFolder() {
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
		Seed:      electionSeed(c.self.Disk),
		HardState: loaded.HardState,
		Snapshot:  loaded.Snapshot,
		Entries:   loaded.Entries,
	}, timekeeper.Now())
}

// electionSeed derives a seed for election timeouts from a disk identity.
func electionSeed(disk string) uint64 {
	seed := uint64(0)
	for _, char := range []byte(disk) {
		seed = seed*131 + uint64(char)
	}
	return seed
}

func randomID() string {
	random := make([]byte, randomIDBytes)
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

func (c *Conductor) selfMember() replicator.Member {
	return replicator.Member{ID: c.self, Address: c.config.Address, Role: replicator.Voter}
}

// bootstrap creates a new group with the members, unless this member has a group.
func (c *Conductor) bootstrap(members []replicator.Member) {
	if c.core.Status().Group != "" {
		return
	}
	hardState, entries := replicator.Bootstrap(randomID(), members, timekeeper.Now())
	if c.recorder != nil {
		if err := c.recorder.Append(replicator.Write{HardState: &hardState, Entries: entries}); err != nil {
			c.fail(err)
			return
		}
		if err := c.recorder.Sync(); err != nil {
			c.fail(err)
			return
		}
	}
	c.state = applier.New()
	c.core = c.newCore(recorder.Loaded{HardState: hardState, Entries: entries})
	c.config.Log.Info("created group", zap.String("group", hardState.Group), zap.Int("members", len(members)))
	c.finishStep()
}

// runFormation creates a group if this member is the first founder that may, all founders
// respond and none has a group.
func (c *Conductor) runFormation() {
	for c.groupName() == "" {
		if members, ok := c.foundingMembers(); ok {
			request := &bootstrapCall{members: members, answer: make(chan struct{})}
			if c.enqueue(context.Background(), request) != nil {
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

// mayFound reports whether this member may form a group.
func (c *Conductor) mayFound() bool { return len(c.founders) > 0 && c.groupName() == "" }

// foundingMembers asks all founders for their identities and returns the members of a
// new group. It returns false if this member must not create one.
func (c *Conductor) foundingMembers() ([]replicator.Member, bool) {
	if !c.mayFound() {
		return nil, false
	}
	var members []replicator.Member
	neverInGroup := map[replicator.Identity]bool{c.self: true}
	for _, founder := range c.founders {
		if founder.Name == c.config.Name {
			members = append(members, c.selfMember())
			continue
		}
		introduced, err := c.messenger.Introduce(context.Background(), founder.Address)
		if err != nil || introduced.Group != "" || introduced.ID.Name != founder.Name {
			return nil, false
		}
		if introduced.MayFound && founder.Name < c.config.Name {
			return nil, false
		}
		neverInGroup[introduced.ID] = introduced.MayFound
		members = append(members, replicator.Member{ID: introduced.ID, Address: founder.Address, Role: replicator.Voter})
	}
	slices.SortFunc(members, func(a, b replicator.Member) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	for i := range members {
		if i >= c.targetVoters() {
			members[i].Role = replicator.Learner
		}
	}
	return members, !mayHaveCommitted(members, neverInGroup)
}

// mayHaveCommitted reports whether a group of these members may have committed an entry that
// none of them knows any more. That takes a quorum of voters whose disks were lost since.
func mayHaveCommitted(members []replicator.Member, neverInGroup map[replicator.Identity]bool) bool {
	voters, lost := 0, 0
	for _, member := range members {
		if member.Role != replicator.Voter {
			continue
		}
		voters++
		if !neverInGroup[member.ID] {
			lost++
		}
	}
	return lost > voters/2
}

// targetVoters returns how many voters the group should have.
func (c *Conductor) targetVoters() int {
	if c.config.Voters > 0 {
		return c.config.Voters
	}
	return len(c.config.others()) + 1
}
