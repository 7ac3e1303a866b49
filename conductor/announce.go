package conductor

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

const (
	// announceInterval is how often a member that is not part of a group with a
	// leader tells others that it is there.
	announceInterval = 500 * time.Millisecond
	// metTime is how long a member that has introduced itself is remembered. It
	// spans many announcements.
	metTime = 10 * time.Second
	// mostAcquaintances bounds what strangers can make a member remember.
	mostAcquaintances = 64
)

// acquaintances are members whose addresses are known from the settings or
// from their own announcements. It is safe for concurrent use.
type acquaintances struct {
	mutex sync.Mutex
	// given are known from the settings, by name.
	given map[string]Member
	// announced have introduced themselves, by name.
	announced map[string]announcement
}

// announcement is what a member said of itself.
type announcement struct {
	disk    string
	address string
	until   time.Time
}

func newAcquaintances() *acquaintances {
	return &acquaintances{given: map[string]Member{}, announced: map[string]announcement{}}
}

// met notes a member that has introduced itself.
func (a *acquaintances) met(member replicator.Member) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, known := a.announced[member.ID.Name]
	if member.ID.Name == "" || member.Address == "" || (!known && len(a.announced) >= mostAcquaintances) {
		return
	}
	a.announced[member.ID.Name] = announcement{
		disk:    member.ID.Disk,
		address: member.Address,
		until:   timekeeper.Now().Add(metTime),
	}
}

// list returns the acquaintances at a time, without one of the name, in
// ascending order. Disk is empty for those that have not announced themselves.
func (a *acquaintances) list(without string, now time.Time) []Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var members []Member
	for name, said := range a.announced {
		if now.After(said.until) {
			delete(a.announced, name)
			continue
		}
		if name != without {
			members = append(members, Member{Name: name, Disk: said.disk, Address: said.address})
		}
	}
	for name, member := range a.given {
		if _, announced := a.announced[name]; !announced && name != without {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

// Meet adds members to those that are known, as when the settings name others
// than before. Only Name and Address are read.
func (c *Conductor) Meet(members []Member) {
	c.acquaintances.mutex.Lock()
	defer c.acquaintances.mutex.Unlock()
	for _, member := range members {
		c.acquaintances.given[member.Name] = member
	}
}

// known are the members of the group as this member knows them.
func (c *Conductor) known() []replicator.Member {
	status := c.status.Load()
	if status == nil {
		return nil
	}
	members := make([]replicator.Member, 0, len(status.Members))
	for _, member := range status.Members {
		role := replicator.Learner
		if member.Role == Voter {
			role = replicator.Voter
		}
		members = append(members, replicator.Member{
			ID:      replicator.Identity{Name: member.Name, Disk: member.Disk},
			Address: member.Address,
			Role:    role,
		})
	}
	return members
}

// runAnnouncements tells others that this member is there until it is part of
// a group with a leader, and again whenever it is not. One without a group has
// nothing to wait for.
func (c *Conductor) runAnnouncements() {
	told := map[string]Member{}
	var outside absence
	if c.groupName() == "" {
		c.announce(told)
	}
	for {
		c.logOutside(&outside)
		select {
		case <-c.stopped:
			return
		case <-time.After(announceInterval):
		}
		if c.belongs() {
			clear(told)
			continue
		}
		c.announce(told)
	}
}

// belongs says whether the member is in the group as it knows it and hears a
// leader.
func (c *Conductor) belongs() bool { return c.listed() && c.status.Load().Leader != "" }

// listed says whether the member is in the group as it knows it.
func (c *Conductor) listed() bool {
	return slices.ContainsFunc(c.status.Load().Members, func(m Member) bool {
		return m.Name == c.self.Name && m.Disk == c.self.Disk
	})
}

// announce introduces this member to all that it knows, and to those that
// these tell of. Told collects them.
func (c *Conductor) announce(told map[string]Member) {
	for _, member := range c.acquaintances.list(c.config.Name, timekeeper.Now()) {
		told[member.Name] = member
	}
	for _, member := range c.status.Load().Members {
		told[member.Name] = member
	}
	asked := map[string]bool{c.config.Address: true}
	for address := unasked(told, asked); address != ""; address = unasked(told, asked) {
		asked[address] = true
		known, err := c.messenger.Introduce(context.Background(), address)
		if err != nil {
			continue
		}
		for _, member := range known.Members {
			told[member.ID.Name] = Member{Name: member.ID.Name, Address: member.Address}
		}
	}
}

// unasked returns the address of the first member in ascending order of name
// that was not asked; empty where all were.
func unasked(members map[string]Member, asked map[string]bool) string {
	var first Member
	for name, member := range members {
		if !asked[member.Address] && (first.Address == "" || name < first.Name) {
			first = member
		}
	}
	return first.Address
}

func byName(a, b Member) int { return strings.Compare(a.Name, b.Name) }
