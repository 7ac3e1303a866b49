package conductor

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"burdocklink/applier"
	"burdocklink/recorder"
)

// Config configures a member.
type Config struct {
	// Name is the member's name. Address is the IP and port of its replication
	// service.
	Name    string
	Address string
	// Folder is the data folder. If it is empty, the member stores everything in
	// memory and must not have other peers.
	Folder string
	// Files is the file system of the data folder; nil means that of the operating
	// system.
	Files recorder.FileSystem
	// Peers are the control members from the settings, with or without this one.
	// Only Name and Address are used. Members with empty disks form a group once
	// all of them respond and none has a group. A member without a group waits to
	// be added to that of its peers. A member without other peers forms a group on
	// its own.
	Peers []Member
	// Founders are the names of the members that form a group; none means Peers and this
	// member. Others wait to be added to it.
	Founders []string
	// JoinOnly is set if the member must not form a group: it waits to be added to
	// that of its peers. One whose folder was created without it may still do so.
	JoinOnly bool
	// Voters is the number of voters that the group is formed with and that repair
	// maintains; zero means the number of peers including this member. Further
	// members are standby learners.
	Voters int
	// Credentials secure the links; nil means that they are not secured.
	Credentials credentials.TransportCredentials
	Codec       Codec
	Timing      Timing
	// SnapshotEntries is the number of applied entries at which a snapshot replaces
	// them; zero means DefaultSnapshotEntries.
	SnapshotEntries uint64
	// LostAfter is how long a voter may be silent before a learner replaces it;
	// zero means DefaultLostAfter.
	LostAfter time.Duration
	Log       *zap.Logger
	Metrics   metrics.Registry
	// Fatal is called once if the member fails, for example because of a failed
	// sync. The member has stopped by then, and the process should exit.
	Fatal func(error)
}

// Codec encodes and decodes commands and states.
type Codec struct {
	EncodeCommand func(applier.Command) ([]byte, error)
	DecodeCommand func([]byte) (applier.Command, error)
	// EncodeState is called from a goroutine other than the control goroutine.
	EncodeState func(applier.Snapshot) ([]byte, error)
	DecodeState func([]byte) (*applier.State, error)
}

// Timing configures how fast members detect the loss of each other.
type Timing struct {
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random election timeout.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Lease is how long replies of a quorum extend the leader's lease, counted from
	// when the messages that they reply to were sent. It must be shorter than
	// ElectionMin by the maximum drift between two clocks in that time.
	Lease time.Duration
}

// Defaults for members with low latency between them.
const (
	DefaultHeartbeat   = 100 * time.Millisecond
	DefaultElectionMin = 600 * time.Millisecond
	DefaultElectionMax = 1200 * time.Millisecond
	DefaultLease       = 500 * time.Millisecond
	// DefaultSnapshotEntries is the default of Config.SnapshotEntries.
	DefaultSnapshotEntries = 16384
	// DefaultLostAfter is the default of Config.LostAfter.
	DefaultLostAfter = 30 * time.Second
)

// DefaultTiming returns the timing for members with low latency between them.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   DefaultHeartbeat,
		ElectionMin: DefaultElectionMin,
		ElectionMax: DefaultElectionMax,
		Lease:       DefaultLease,
	}
}

// InvalidConfigError reports an invalid field of a Config.
type InvalidConfigError struct{ Field, Reason string }

// Error describes the fault.
func (e *InvalidConfigError) Error() string { return "conductor: " + e.Field + " " + e.Reason }

// validate sets defaults and returns an error for the first invalid field.
func (c *Config) validate() error {
	if c.Name == "" {
		return &InvalidConfigError{Field: "name", Reason: "is empty"}
	}
	if c.Codec.EncodeCommand == nil || c.Codec.DecodeCommand == nil ||
		c.Codec.EncodeState == nil || c.Codec.DecodeState == nil {
		return &InvalidConfigError{Field: "codec", Reason: "lacks a function"}
	}
	c.setDefaults()
	if c.Timing.Heartbeat <= 0 || c.Timing.Heartbeat >= c.Timing.Lease {
		return &InvalidConfigError{Field: "heartbeat", Reason: "must be shorter than the lease"}
	}
	if c.Timing.Lease >= c.Timing.ElectionMin {
		return &InvalidConfigError{Field: "lease", Reason: "must be shorter than the election timeout"}
	}
	if c.Timing.ElectionMax <= c.Timing.ElectionMin {
		return &InvalidConfigError{Field: "election-max", Reason: "must be longer than election-min"}
	}
	if c.Folder == "" && len(c.others()) > 0 {
		return &InvalidConfigError{Field: "folder", Reason: "is empty, but the member is not alone"}
	}
	return nil
}

// others returns the peers except this member.
func (c *Config) others() []Member {
	var others []Member
	for _, peer := range c.Peers {
		if peer.Name != c.Name {
			others = append(others, peer)
		}
	}
	return others
}

// founders returns the members that form a group, or none if this member is not one.
func (c *Config) founders() []Member {
	members := append([]Member{{Name: c.Name, Address: c.Address}}, c.others()...)
	if len(c.Founders) > 0 {
		members = slices.DeleteFunc(members, func(m Member) bool { return !slices.Contains(c.Founders, m.Name) })
	}
	if c.JoinOnly || !slices.ContainsFunc(members, func(m Member) bool { return m.Name == c.Name }) {
		return nil
	}
	return members
}

func (c *Config) setDefaults() {
	if c.Timing == (Timing{}) {
		c.Timing = DefaultTiming()
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.LostAfter == 0 {
		c.LostAfter = DefaultLostAfter
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}
