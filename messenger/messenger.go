// Package messenger transmits messages between control members over gRPC. Each
// member dials every other one and sends frames of messages on its own stream; the
// receiver acknowledges the frames. If an acknowledgement is overdue, the stream is
// closed and a new connection is dialled. Messages may be lost: a full queue drops
// its oldest message, since sending never blocks.
package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/replicator"
)

// Settings configure a Messenger.
type Settings struct {
	Self replicator.Identity
	// Address is the IP and port at which others reach this member.
	Address     string
	Credentials credentials.TransportCredentials
	// Deliver handles a received message. It may block.
	Deliver func(replicator.Envelope)
	// Group returns the group that the member belongs to, empty for none.
	Group func() string
	// Members returns the known members of the group.
	Members func() []replicator.Member
	// MayFound returns whether this member may form a group, since its disk has never held
	// one; nil if it may not.
	MayFound func() bool
	// OnIntroduction is called with the identity and address of a member that
	// introduces itself.
	OnIntroduction func(replicator.Member)
	Log            *zap.Logger
	Metrics        metrics.Registry
}

// Introduction is a member's answer to an introduction.
type Introduction struct {
	ID    replicator.Identity
	Group string
	// Members are the members of the group that are known to the member.
	Members []replicator.Member
	// MayFound is set if the member may form a group: its disk has never held one.
	MayFound bool
}

// Messenger sends and receives messages.
type Messenger struct {
	settings Settings
	context  context.Context
	cancel   context.CancelFunc
	sent     metrics.Counter
	received metrics.Counter
	dropped  metrics.Counter
	running  sync.WaitGroup

	mutex sync.Mutex
	// routes are the addresses from the configuration, learned those that members
	// announced when they connected.
	routes  map[replicator.Identity]string
	learned map[replicator.Identity]string
	links   map[replicator.Identity]*link
	closed  bool
}

// New returns a Messenger without links.
func New(settings Settings) *Messenger {
	if settings.Members == nil {
		settings.Members = func() []replicator.Member { return nil }
	}
	if settings.MayFound == nil {
		settings.MayFound = func() bool { return false }
	}
	if settings.OnIntroduction == nil {
		settings.OnIntroduction = func(replicator.Member) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		settings: settings,
		context:  ctx,
		cancel:   cancel,
		sent:     metrics.GetOrRegisterCounter("replication-bytes-sent", settings.Metrics),
		received: metrics.GetOrRegisterCounter("replication-bytes-received", settings.Metrics),
		dropped:  metrics.GetOrRegisterCounter("replication-messages-dropped", settings.Metrics),
		routes:   map[replicator.Identity]string{},
		learned:  map[replicator.Identity]string{},
		links:    map[replicator.Identity]*link{},
	}
}

// Register registers the replication service on a server.
func (m *Messenger) Register(registrar grpc.ServiceRegistrar) {
	wire.RegisterReplicationServer(registrar, &server{messenger: m})
}

// SetRoutes sets the members' addresses and closes links whose address has changed.
func (m *Messenger) SetRoutes(members []replicator.Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.routes = make(map[replicator.Identity]string, len(members))
	for _, member := range members {
		m.routes[member.ID] = member.Address
	}
	for id, l := range m.links {
		if m.addressOf(id) != l.address {
			l.cancel()
			delete(m.links, id)
		}
	}
}

// addressOf prefers the address announced by the member itself, since it may have
// moved.
func (m *Messenger) addressOf(id replicator.Identity) string {
	if address := m.learned[id]; address != "" {
		return address
	}
	return m.routes[id]
}

// Address returns a member's address, empty if unknown.
func (m *Messenger) Address(id replicator.Identity) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.addressOf(id)
}

// Send queues a message without blocking. The message is dropped if the receiver's
// address is unknown. If the queue is full, its oldest message is dropped.
func (m *Messenger) Send(envelope replicator.Envelope) {
	m.mutex.Lock()
	l := m.linkTo(envelope.To)
	m.mutex.Unlock()
	if l == nil {
		m.dropped.Inc(1)
		return
	}
	l.enqueue(envelope)
}

// linkTo returns the link to a member and creates it if needed. It returns nil if the
// member's address is unknown or the messenger is closed.
func (m *Messenger) linkTo(id replicator.Identity) *link {
	if l := m.links[id]; l != nil || m.closed {
		return l
	}
	address := m.addressOf(id)
	if address == "" {
		return nil
	}
	l := newLink(m, id, address)
	m.links[id] = l
	m.running.Add(1)
	go l.run()
	return l
}

// learn stores the address that a member announced for itself.
func (m *Messenger) learn(id replicator.Identity, address string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.learned[id] = address
	if l := m.links[id]; l != nil && l.address != address {
		l.cancel()
		delete(m.links, id)
	}
}

// Close closes all links, including those dialled by other members.
func (m *Messenger) Close() {
	m.mutex.Lock()
	m.closed = true
	m.mutex.Unlock()
	m.cancel()
	m.running.Wait()
}

// Introduce introduces this member to the one at an address and returns its answer.
func (m *Messenger) Introduce(ctx context.Context, address string) (Introduction, error) {
	conn, err := m.dial(address)
	if err != nil {
		return Introduction{}, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	reply, err := wire.NewReplicationClient(conn).Introduce(ctx, &wire.IntroduceRequest{
		Id:      encoder.EncodeIdentity(m.settings.Self),
		Address: m.settings.Address,
	})
	if err != nil {
		return Introduction{}, err
	}
	return Introduction{
		ID:      encoder.DecodeIdentity(reply.GetId()),
		Group:   reply.GetGroup(),
		Members: encoder.DecodeMembers(reply.GetMembers()),

		MayFound: reply.GetMayFound(),
	}, nil
}

// Timing of links.
const (
	// ackTimeout is the longest wait for an acknowledgement.
	ackTimeout = time.Second
	// pingInterval is the idle time after which an empty frame is sent.
	pingInterval = time.Second
	// ackInterval is the interval of acknowledgements by the receiver.
	ackInterval = 400 * time.Millisecond
	// silenceTimeout is the time without frames after which the receiver closes a
	// link.
	silenceTimeout = 5 * time.Second
	// minRedialDelay is the delay before a new connection after a working one. It
	// doubles with each failed session, up to maxRedialDelay.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
)

// Limits of a link's queue and frames. Frames are smaller than the default message
// limit of a gRPC server.
const (
	maxQueuedMessages = 256
	maxFrameBytes     = 2 << 20
	maxMessageBytes   = 16 << 20
)
