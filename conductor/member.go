package conductor

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/registrar"
)

// Conductor is one running control member.
type Conductor struct {
	config  Config
	calls   chan call
	stop    chan struct{}
	stopped chan struct{}
	status  atomic.Pointer[Status]

	// what follows belongs to loop.
	state     *applier.State
	index     uint64
	stamp     time.Time
	followers map[*follower]struct{}
}

// New checks a config and returns a member that is not started.
func New(config Config) (*Conductor, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	c := &Conductor{
		config:    config,
		calls:     make(chan call, callQueue),
		stop:      make(chan struct{}),
		stopped:   make(chan struct{}),
		state:     applier.New(),
		followers: map[*follower]struct{}{},
	}
	c.publish()
	return c, nil
}

// String names the service.
func (c *Conductor) String() string { return "conductor" }

// Start begins the work; kernel may be nil. It does not wait for a leader.
func (c *Conductor) Start(_ context.Context, _ *registrar.Registrar) error {
	go c.loop()
	return nil
}

// Stop ends the work; a leader hands over first where it can.
func (c *Conductor) Stop(deadline time.Time) error {
	close(c.stop)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.stopped:
		return nil
	case <-timer.C:
		return &DeadlineError{}
	}
}

// DeadlineError says that the member did not stop in time.
type DeadlineError struct{}

// Error describes the miss.
func (e *DeadlineError) Error() string { return "member did not stop in time" }

// ServeReplication registers the service through which members talk.
func (c *Conductor) ServeReplication(_ grpc.ServiceRegistrar) {}

// AddMember adds a learner and promotes it to a voter once it has caught up,
// where the member's role asks for that. An empty Disk is asked for at the
// address.
func (c *Conductor) AddMember(ctx context.Context, member Member) error {
	return &NotLeaderError{}
}

// RemoveMember removes the member with the name, and the disk where one is
// given.
func (c *Conductor) RemoveMember(ctx context.Context, name, disk string) error {
	return &NotLeaderError{}
}

// Transfer hands the lead to the voter with the name, or to the one that is
// furthest where the name is empty.
func (c *Conductor) Transfer(ctx context.Context, name string) error {
	return &NotLeaderError{}
}

// Propose commits a command and returns its result.
func (c *Conductor) Propose(ctx context.Context, command applier.Command) (applier.Applied, error) {
	data, err := c.config.Codec.EncodeCommand(command)
	if err != nil {
		return applier.Applied{}, err
	}
	asked := &proposeCall{command: command, data: data, answer: make(chan proposed, 1)}
	if err := c.ask(ctx, asked); err != nil {
		return applier.Applied{}, err
	}
	select {
	case got := <-asked.answer:
		return got.applied, got.err
	case <-ctx.Done():
		return applier.Applied{}, &UncertainError{Cause: ctx.Err()}
	case <-c.stopped:
		return applier.Applied{}, &UncertainError{Cause: &StoppedError{}}
	}
}

// Confirm returns a revision that no quorum has gone beyond.
func (c *Conductor) Confirm(ctx context.Context) (uint64, error) {
	asked := &confirmCall{answer: make(chan confirmed, 1)}
	if err := c.ask(ctx, asked); err != nil {
		return 0, err
	}
	select {
	case got := <-asked.answer:
		return got.revision, got.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-c.stopped:
		return 0, &StoppedError{}
	}
}

// Follow returns the catalog and the deltas after it.
func (c *Conductor) Follow() (*cataloger.Catalog, <-chan cataloger.Delta, func()) {
	asked := &followCall{answer: make(chan *follower, 1)}
	ended := make(chan cataloger.Delta)
	close(ended)
	if err := c.ask(context.Background(), asked); err != nil {
		return cataloger.New(), ended, func() {}
	}
	select {
	case got := <-asked.answer:
		return got.catalog, got.deltas, got.cancel
	case <-c.stopped:
		return cataloger.New(), ended, func() {}
	}
}

// Read runs a function on the state between two commands.
func (c *Conductor) Read(ctx context.Context, read func(*applier.State)) error {
	asked := &readCall{read: read, answer: make(chan struct{})}
	if err := c.ask(ctx, asked); err != nil {
		return err
	}
	select {
	case <-asked.answer:
		return nil
	case <-c.stopped:
		return &StoppedError{}
	}
}

// Status describes the member as it sees itself.
func (c *Conductor) Status() Status { return *c.status.Load() }

// ask puts a call into the loop's queue.
func (c *Conductor) ask(ctx context.Context, asked call) error {
	select {
	case <-c.stopped:
		return &StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	case c.calls <- asked:
		return nil
	}
}
