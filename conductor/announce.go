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
	// announceInterval is how often a member that is not in a group with a leader
	// introduces itself to others.
	announceInterval = 500 * time.Millisecond
	// announcementTTL is how long an announcement is valid. It spans many
	// announcement intervals.
	announcementTTL = 10 * time.Second
	// maxAnnouncements limits the memory that unknown senders can occupy.
	maxAnnouncements = 64
)

// knownPeers contains the members whose addresses are known from the settings or
// from their own announcements. It is safe for concurrent use.
type knownPeers struct {
	mutex sync.Mutex
	// configured are the members from the settings, by name.
	configured map[string]Member
	// announced are the members that have introduced themselves, by name.
	announced map[string]announcement
}

// announcement is a member's introduction of itself.
type announcement struct {
	disk    string
	address string
	until   time.Time
}

func newKnownPeers() *knownPeers {
	return &knownPeers{configured: map[string]Member{}, announced: map[string]announcement{}}
}

// recordAnnouncement records a member that has introduced itself. It ignores
// members without a name or address, and new ones above maxAnnouncements.
func (k *knownPeers) recordAnnouncement(member replicator.Member) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	_, known := k.announced[member.ID.Name]
	if member.ID.Name == "" || member.Address == "" || (!known && len(k.announced) >= maxAnnouncements) {
		return
	}
	k.announced[member.ID.Name] = announcement{
		disk:    member.ID.Disk,
		address: member.Address,
		until:   timekeeper.Now().Add(announcementTTL),
	}
}

// list returns the peers known at a time, except the one with the given name, in
// ascending order of name. Disk is empty for those that have not announced
// themselves.
func (k *knownPeers) list(without string, now time.Time) []Member {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var members []Member
	for name, entry := range k.announced {
		if now.After(entry.until) {
			delete(k.announced, name)
			continue
		}
		if name != without {
			members = append(members, Member{Name: name, Disk: entry.disk, Address: entry.address})
		}
	}
	for name, member := range k.configured {
		if _, announced := k.announced[name]; !announced && name != without {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

// AddPeers adds members to the known peers, as after a change of the settings. Only
// Name and Address are used.
func (c *Conductor) AddPeers(members []Member) {
	c.knownPeers.mutex.Lock()
	defer c.knownPeers.mutex.Unlock()
	for _, member := range members {
		c.knownPeers.configured[member.Name] = member
	}
}

// groupMembers returns the members of the group as known to this member, or nil
// before the first status is published.
func (c *Conductor) groupMembers() []replicator.Member {
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

// runAnnouncements announces this member to others while it is not in a group with
// a leader. A member without a group does so immediately.
func (c *Conductor) runAnnouncements() {
	learned := map[string]Member{}
	var membershipAbsence absence
	if c.groupName() == "" {
		c.announce(learned)
	}
	for {
		c.logMembershipAbsence(&membershipAbsence)
		select {
		case <-c.stopped:
			return
		case <-time.After(announceInterval):
		}
		if c.inGroupWithLeader() {
			clear(learned)
			continue
		}
		c.announce(learned)
	}
}

// inGroupWithLeader reports whether the member is in the group as it knows it, and
// knows a leader.
func (c *Conductor) inGroupWithLeader() bool { return c.inGroup() && c.status.Load().Leader != "" }

// inGroup reports whether the member is in the group as it knows it.
func (c *Conductor) inGroup() bool {
	return slices.ContainsFunc(c.status.Load().Members, func(m Member) bool {
		return m.Name == c.self.Name && m.Disk == c.self.Disk
	})
}

// announce introduces this member to all members that it knows and to those that
// they report in turn. It adds them to learned.
func (c *Conductor) announce(learned map[string]Member) {
	for _, member := range c.knownPeers.list(c.config.Name, timekeeper.Now()) {
		learned[member.Name] = member
	}
	for _, member := range c.status.Load().Members {
		learned[member.Name] = member
	}
	contacted := map[string]bool{c.config.Address: true}
	for address := firstUncontacted(learned, contacted); address != ""; address = firstUncontacted(learned, contacted) {
		contacted[address] = true
		introduced, err := c.messenger.Introduce(context.Background(), address)
		if err != nil {
			continue
		}
		for _, member := range introduced.Members {
			learned[member.ID.Name] = Member{Name: member.ID.Name, Address: member.Address}
		}
	}
}

// firstUncontacted returns the address of the first member, in ascending order of
// name, that was not contacted. It is empty if all were.
func firstUncontacted(members map[string]Member, contacted map[string]bool) string {
	var first Member
	for name, member := range members {
		if !contacted[member.Address] && (first.Address == "" || name < first.Name) {
			first = member
		}
	}
	return first.Address
}

func byName(a, b Member) int { return strings.Compare(a.Name, b.Name) }
