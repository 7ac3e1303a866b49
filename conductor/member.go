package conductor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/messenger"
	"burdocklink/recorder"
	"burdocklink/registrar"
	"burdocklink/replicator"
)

// Conductor is a control member. It is safe for concurrent use.
type Conductor struct {
	config    Config
	self      replicator.Identity
	messenger *messenger.Messenger
	calls     chan call
	inbox     chan replicator.Envelope
	synced    chan syncResult
	stop      chan struct{}
	stopOnce  sync.Once
	started   atomic.Bool
	stopped   chan struct{}
	status    atomic.Pointer[Status]
	group     atomic.Pointer[string]
	commits   metrics.Counter
	// founders are the members that form a group with this one; none if it must not.
	founders []Member
	// knownPeers are members known from other sources than the group.
	knownPeers *knownPeers

	// The fields below are owned by loop.
	recorder *recorder.Recorder
	writer   *writer
	core     *replicator.Core
	state    *applier.State
	applied  uint64
	// encoding is set while a state is being encoded. The result is sent to
	// encoded, which is buffered.
	encoding bool
	encoded  chan encodedState
	// bytesSinceSnapshot counts the bytes applied since the last snapshot,
	// lastSnapshotBytes is its size.
	bytesSinceSnapshot int
	lastSnapshotBytes  int
	term               uint64
	pendingProposals   map[uint64]pendingProposal
	pendingReads       map[uint64]*confirmCall
	lastReadID         uint64
	waitingReads       []waitingRead
	followers          map[*follower]struct{}
	members            []replicator.Member
	// leaderAbsence tracks how long no leader has been known.
	leaderAbsence absence
	failure       error
}

// inboxLength is the number of messages queued for the loop before links block.
const inboxLength = 1024

// New validates a config, opens the data folder and returns a member that is not
// started. Stop closes the folder.
func New(config Config) (*Conductor, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	c := &Conductor{
		config:           config,
		calls:            make(chan call, callQueueLength),
		inbox:            make(chan replicator.Envelope, inboxLength),
		synced:           make(chan syncResult, 1),
		encoded:          make(chan encodedState, 1),
		stop:             make(chan struct{}),
		stopped:          make(chan struct{}),
		commits:          metrics.GetOrRegisterCounter("replication-entries-applied", config.Metrics),
		pendingProposals: map[uint64]pendingProposal{},
		pendingReads:     map[uint64]*confirmCall{},
		followers:        map[*follower]struct{}{},

		knownPeers: newKnownPeers(),
	}
	c.AddPeers(config.Peers)
	if err := c.open(); err != nil {
		return nil, err
	}
	c.messenger = messenger.New(messenger.Settings{
		Self:           c.self,
		Address:        config.Address,
		Credentials:    config.Credentials,
		Deliver:        c.deliver,
		Group:          c.groupName,
		Members:        c.groupMembers,
		MayFound:       c.mayFound,
		OnIntroduction: c.knownPeers.recordAnnouncement,
		Log:            config.Log,
		Metrics:        config.Metrics,
	})
	c.publish(c.core.Status())
	return c, nil
}

// String returns the name of the service.
func (c *Conductor) String() string { return "conductor" }

// Start starts the member; the registrar may be nil. It does not wait for a leader.
func (c *Conductor) Start(_ context.Context, _ *registrar.Registrar) error {
	c.started.Store(true)
	go c.loop()
	if len(c.config.others()) > 0 || c.config.JoinOnly {
		go c.runFormation()
		go c.runAnnouncements()
		go c.runRepair()
	}
	return nil
}

// Stop stops the member. A leader transfers leadership first if possible. Stop fails
// with *DeadlineError.
func (c *Conductor) Stop(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if !c.started.Load() {
		c.stopOnce.Do(c.close)
		return nil
	}
	c.transferOnStop(ctx)
	c.stopOnce.Do(func() { close(c.stop) })
	select {
	case <-c.stopped:
		return nil
	case <-ctx.Done():
		return &DeadlineError{}
	}
}

// transferOnStop transfers leadership to another voter if there is one that
// responds. A leader does so even if its lease has lapsed.
func (c *Conductor) transferOnStop(ctx context.Context) {
	status := c.status.Load()
	voters := slices.DeleteFunc(slices.Clone(status.Members), func(m Member) bool { return m.Role != Voter })
	if !status.Leading || len(voters) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*c.config.Timing.ElectionMax)
	defer cancel()
	_ = c.Transfer(ctx, "")
}

// DeadlineError is returned if the member did not stop before the deadline.
type DeadlineError struct{}

// Error describes the failure.
func (e *DeadlineError) Error() string { return "member did not stop in time" }

// ServerOptions returns the options for a server with the replication service.
func ServerOptions() []grpc.ServerOption { return messenger.ServerOptions() }

// ServeReplication registers the replication service, through which members
// communicate. It may be called, and the server may serve, before Start.
func (c *Conductor) ServeReplication(registrar grpc.ServiceRegistrar) {
	c.messenger.Register(registrar)
}

// MaxCommandBytes is the maximum size of an encoded command, so that it fits into
// one message between members.
const MaxCommandBytes = 3 << 20

// TooLargeError is returned for a command above MaxCommandBytes. The command was not
// stored.
type TooLargeError struct{ Bytes int }

// Error describes the refusal.
func (e *TooLargeError) Error() string { return "command is too large for the log" }

// Propose commits a command and returns its result. Besides the errors listed in
// Proposer, it returns *TooLargeError and errors of the codec.
func (c *Conductor) Propose(ctx context.Context, command applier.Command) (applier.Applied, error) {
	data, err := c.config.Codec.EncodeCommand(command)
	if err != nil {
		return applier.Applied{}, err
	}
	if len(data) > MaxCommandBytes {
		return applier.Applied{}, &TooLargeError{Bytes: len(data)}
	}
	request := &proposeCall{data: data, answer: make(chan proposeResult, 1)}
	if err := c.enqueue(ctx, request); err != nil {
		return applier.Applied{}, err
	}
	return c.awaitResult(ctx, request.answer)
}

// awaitResult waits for the result of a proposal. If it gives up, the proposal may
// still be committed, so it returns *UncertainError.
func (c *Conductor) awaitResult(ctx context.Context, answer <-chan proposeResult) (applier.Applied, error) {
	select {
	case result := <-answer:
		return result.applied, result.err
	case <-ctx.Done():
		return applier.Applied{}, &UncertainError{Cause: ctx.Err()}
	case <-c.stopped:
	}
	select {
	case result := <-answer:
		return result.applied, result.err
	default:
		return applier.Applied{}, &UncertainError{Cause: &StoppedError{}}
	}
}

// Confirm returns an applied revision that includes everything committed before the
// call.
func (c *Conductor) Confirm(ctx context.Context) (uint64, error) {
	request := &confirmCall{answer: make(chan confirmResult, 1)}
	if err := c.enqueue(ctx, request); err != nil {
		return 0, err
	}
	select {
	case result := <-request.answer:
		return result.revision, result.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-c.stopped:
		return 0, &StoppedError{}
	}
}

// Follow returns the catalog, the later deltas and a function that ends them. The
// catalog is empty if the member has stopped.
func (c *Conductor) Follow() (*cataloger.Catalog, <-chan cataloger.Delta, func()) {
	request := &followCall{answer: make(chan *follower, 1)}
	ended := make(chan cataloger.Delta)
	close(ended)
	if err := c.enqueue(context.Background(), request); err != nil {
		return cataloger.New(), ended, func() {}
	}
	select {
	case follower := <-request.answer:
		return follower.catalog, follower.deltas, follower.cancel
	case <-c.stopped:
		return cataloger.New(), ended, func() {}
	}
}

// Read calls a function with the state between two commands.
func (c *Conductor) Read(ctx context.Context, read func(*applier.State)) error {
	request := &readCall{read: read, answer: make(chan struct{})}
	if err := c.enqueue(ctx, request); err != nil {
		return err
	}
	select {
	case <-request.answer:
		return nil
	case <-c.stopped:
		return &StoppedError{}
	}
}

// enqueue adds a call to the loop's queue.
func (c *Conductor) enqueue(ctx context.Context, request call) error {
	select {
	case <-c.stopped:
		return &StoppedError{}
	default:
	}
	select {
	case <-c.stopped:
		return &StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	case c.calls <- request:
		return nil
	}
}

// deliver passes a message from a link to the loop.
func (c *Conductor) deliver(envelope replicator.Envelope) {
	select {
	case c.inbox <- envelope:
	case <-c.stopped:
	}
}

func (c *Conductor) groupName() string {
	if name := c.group.Load(); name != nil {
		return *name
	}
	return ""
}
