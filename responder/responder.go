// Package responder serves the calls of entries and operators at a control member: it
// proposes commands to the replicated log, streams the catalog and reports the status of
// the system.
package responder

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"burdocklink/accountant"
	"burdocklink/conductor"
	"burdocklink/encoder/wire"
	"burdocklink/historian"
	"burdocklink/linker"
	"burdocklink/mover"
	"burdocklink/registrar"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// Name is the service's name in the kernel.
const Name = "responder"

// minPingInterval is the shortest interval at which clients may send keepalive pings.
const minPingInterval = time.Second

// Group is the control member that the responder serves.
type Group interface {
	conductor.Proposer
	// ServeReplication registers the replication service between members.
	ServeReplication(server grpc.ServiceRegistrar)
}

// Members changes the group's membership. It is implemented by the conductor.
type Members interface {
	AddMember(ctx context.Context, member conductor.Member) error
	// RemoveMember removes the member with this disk ID, or the only member of that
	// name if disk is empty.
	RemoveMember(ctx context.Context, name, disk string) error
}

// Holdings provides the holdings of engines, and has models and adapters loaded.
type Holdings interface {
	// Held returns the holdings that changed after a serial number, and the serial
	// number of the newest change.
	Held(after uint64) ([]surveyor.EngineHoldings, uint64)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Want returns the holders of a model or adapter, or the time until one is
	// expected.
	Want(ctx context.Context, want mover.Want) mover.WantResult
}

// Limits grants permits for upstreams whose rate limit is shared by all VMs.
type Limits interface {
	// Reserve records the rate limits that an entry has observed and grants it permits.
	// The entry must not ask again before the pause has passed. leading is false if this
	// member does not lead and grants none.
	Reserve(now time.Time, entry string, requests []router.ReservationRequest) (reservations []router.Reservation, pause time.Duration, leading bool)
	// LimitsAfter returns the rate limits that changed after a serial number, and the
	// serial number of the newest change.
	LimitsAfter(after uint64) ([]router.ObservedLimit, uint64)
}

// Quotas grants units of organisations' quotas, which cover all entries together.
type Quotas interface {
	// Charge grants what an entry wants. The entry must not call again before the pause has
	// passed. leading is false if this member does not lead and grants nothing.
	Charge(now time.Time, entry string, wants []accountant.Want) (grants []accountant.Grant, pause time.Duration, leading bool)
}

// Settings configure a Responder.
type Settings struct {
	// Listen is the IP address and port that serve entries, operators and members.
	Listen string
	// Credentials secure the connections; nil for plain text.
	Credentials credentials.TransportCredentials
	// Operator returns the name of the authenticated operator of a call.
	Operator func(ctx context.Context) (string, error)
	Group    Group
	// Holdings is nil if this member does not track holdings.
	Holdings Holdings
	// Limits is nil if this member grants no permits.
	Limits Limits
	// Quotas is nil if this member grants no units of quotas.
	Quotas Quotas
	// Streams keeps which software began streams; nil if this member does not.
	Streams *historian.Archive
	// PlatformList is the platform's list as read by the leader; nil if it reads none.
	PlatformList *surveyor.ListFeed
	// HeartbeatInterval is the minimum time between two heartbeats; zero for the
	// default.
	HeartbeatInterval time.Duration
	Meter             *linker.Meter
	Log               *zap.Logger
}

// Responder is the gRPC service of a control member.
type Responder struct {
	wire.UnimplementedControlServer
	wire.UnimplementedOperatorServer

	settings  Settings
	server    *grpc.Server
	listener  net.Listener
	entries   *entryTable
	confirmer *confirmer
	stopping  chan struct{}
	stopped   chan struct{}
}

// New returns a responder that has not started.
func New(settings Settings) *Responder {
	if settings.HeartbeatInterval <= 0 {
		settings.HeartbeatInterval = defaultHeartbeatInterval
	}
	return &Responder{
		settings:  settings,
		entries:   newEntryTable(),
		confirmer: newConfirmer(settings.Group, settings.HeartbeatInterval),
		stopping:  make(chan struct{}),
		stopped:   make(chan struct{}),
	}
}

// String names the service.
func (r *Responder) String() string { return Name }

// Address returns the listening address.
func (r *Responder) Address() string { return r.listener.Addr().String() }

// Start opens the listener and serves.
func (r *Responder) Start(context.Context, *registrar.Registrar) error {
	listener, err := linker.Listen(r.settings.Listen)
	if err != nil {
		return err
	}
	r.listener = listener
	r.server = grpc.NewServer(r.options()...)
	wire.RegisterControlServer(r.server, r)
	wire.RegisterOperatorServer(r.server, r)
	r.settings.Group.ServeReplication(r.server)
	go r.confirmer.loop(r.stopping)
	go r.runServer()
	return nil
}

// Stop ends the followers' streams and waits for calls until the deadline.
func (r *Responder) Stop(deadline time.Time) error {
	close(r.stopping)
	go r.runStop()
	select {
	case <-r.stopped:
	case <-time.After(time.Until(deadline)):
		r.server.Stop()
	}
	return nil
}

func (r *Responder) options() []grpc.ServerOption {
	options := append(conductor.ServerOptions(),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minPingInterval,
			PermitWithoutStream: true,
		}),
		grpc.UnaryInterceptor(r.checkCall),
		grpc.StreamInterceptor(r.checkStream),
	)
	if r.settings.Credentials != nil {
		options = append(options, grpc.Creds(r.settings.Credentials))
	}
	return options
}

func (r *Responder) runServer() {
	if err := r.server.Serve(r.settings.Meter.Listen(r.listener)); err != nil {
		r.settings.Log.Warn("control service ended", zap.Error(err))
	}
}

func (r *Responder) runStop() {
	r.server.GracefulStop()
	close(r.stopped)
}
