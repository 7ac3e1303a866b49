package conductor

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"burdocklink/applier"
	"burdocklink/recorder"
)

// Config is what a member needs to run.
type Config struct {
	// Name and Address are the member's own; Address is the IP and port at
	// which the others reach its replication service.
	Name    string
	Address string
	// Folder is the data folder. Where it is empty, the member keeps
	// everything in memory and must be alone.
	Folder string
	// Files is the file system of the data folder; nil is the operating
	// system's.
	Files recorder.FileSystem
	// Peers are the control members that are known from the settings, this one
	// among them or not. Only Name and Address are read. Members with empty
	// disks form a group once all of them answer and none has a group; a
	// member without a group waits to be taken into the one that its peers
	// have. A member without other peers forms a group of its own.
	Peers []Member
	// JoinOnly is true where the member must not begin a group: it waits to be
	// taken into the one that its peers have.
	JoinOnly bool
	// Voters is how many voters the group founds and repairs itself with; zero
	// means the number of peers. Further members are learners and stand by.
	Voters int
	// Credentials secure the links; nil means none.
	Credentials credentials.TransportCredentials
	Codec       Codec
	Timing      Timing
	// SnapshotEntries is how many applied entries the log keeps before a
	// snapshot replaces them; zero means the default.
	SnapshotEntries uint64
	// LostAfter is how long a voter may be silent before a learner takes its
	// place; zero means the default.
	LostAfter time.Duration
	Log       *zap.Logger
	Metrics   metrics.Registry
	// Fatal is called once when the member can't go on, as after a failed
	// sync. The member has stopped by then; the process should end.
	Fatal func(error)
}

// Codec turns commands and states into bytes and back.
type Codec struct {
	EncodeCommand func(applier.Command) ([]byte, error)
	DecodeCommand func([]byte) (applier.Command, error)
	// EncodeState is called off the control goroutine.
	EncodeState func(applier.Snapshot) ([]byte, error)
	DecodeState func([]byte) (*applier.State, error)
}

// Timing sets how fast members notice each other's loss.
type Timing struct {
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random time without a leader
	// after which a voter stands for election.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Lease is how long a quorum's answers let the leader lead, counted from
	// the sending of what they answer. It must be shorter than ElectionMin by
	// the most that two clocks may drift apart meanwhile.
	Lease time.Duration
}

// Standard timing of members close together.
const (
	DefaultHeartbeat   = 100 * time.Millisecond
	DefaultElectionMin = 600 * time.Millisecond
	DefaultElectionMax = 1200 * time.Millisecond
	DefaultLease       = 500 * time.Millisecond
	// DefaultSnapshotEntries is the standard bound of the log's length.
	DefaultSnapshotEntries = 16384
	// DefaultLostAfter is the standard silence before a voter is replaced.
	DefaultLostAfter = 30 * time.Second
)

// DefaultTiming returns the timing for members close together.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   DefaultHeartbeat,
		ElectionMin: DefaultElectionMin,
		ElectionMax: DefaultElectionMax,
		Lease:       DefaultLease,
	}
}

// InvalidConfigError says which field of a Config can't be used.
type InvalidConfigError struct{ Field, Reason string }

// Error describes the fault.
func (e *InvalidConfigError) Error() string { return "conductor: " + e.Field + " " + e.Reason }

// validate fills what was left out and names the first fault.
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

// others are the peers without this member.
func (c *Config) others() []Member {
	var others []Member
	for _, peer := range c.Peers {
		if peer.Name != c.Name {
			others = append(others, peer)
		}
	}
	return others
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
