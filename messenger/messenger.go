// Package messenger carries messages between control members over gRPC. Each
// member dials every other one and sends on its own stream; the other side
// acknowledges frames. A stream without acknowledgement for a while is closed
// and another connection is dialled. Messages may be lost: queues are bounded
// and drop the oldest rather than wait.
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

// Settings is what a Messenger needs.
type Settings struct {
	Self replicator.Identity
	// Address is the IP and port at which others reach this member.
	Address     string
	Credentials credentials.TransportCredentials
	// Deliver takes in a message that has arrived. It may wait.
	Deliver func(replicator.Envelope)
	// Group tells which group the member belongs to; empty for none.
	Group func() string
	// Members tells the members of the group, as far as this member knows them.
	Members func() []replicator.Member
	// OnIntroduction is told who has introduced itself, and where it is reached.
	OnIntroduction func(replicator.Member)
	Log            *zap.Logger
	Metrics        metrics.Registry
}

// Introduction is what a member tells of itself.
type Introduction struct {
	ID    replicator.Identity
	Group string
	// Members are those of its group, as far as it knows them.
	Members []replicator.Member
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
	// routes are the addresses from the configuration, learned those that
	// peers gave for themselves.
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

// Register adds the members' service to a server.
func (m *Messenger) Register(registrar grpc.ServiceRegistrar) {
	wire.RegisterReplicationServer(registrar, &server{messenger: m})
}

// SetRoutes sets the members' addresses and ends links to others.
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

// addressOf prefers what a member says of itself: it may have moved.
func (m *Messenger) addressOf(id replicator.Identity) string {
	if address := m.learned[id]; address != "" {
		return address
	}
	return m.routes[id]
}

// Address is where a member is reached; empty where that is not known.
func (m *Messenger) Address(id replicator.Identity) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.addressOf(id)
}

// Send queues a message. It never waits; where there is no route or no room,
// a message is lost.
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

// linkTo returns the link to a member and starts it where there is none.
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

// learn notes the address that a peer gives for itself.
func (m *Messenger) learn(id replicator.Identity, address string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.learned[id] = address
	if l := m.links[id]; l != nil && l.address != address {
		l.cancel()
		delete(m.links, id)
	}
}

// Close ends all links, those that others have dialled among them.
func (m *Messenger) Close() {
	m.mutex.Lock()
	m.closed = true
	m.mutex.Unlock()
	m.cancel()
	m.running.Wait()
}

// Introduce asks who answers at an address.
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
	}, nil
}

// timing of links.
const (
	// ackTimeout is how long a frame may wait for its acknowledgement.
	ackTimeout = time.Second
	// pingInterval is when an idle link asks for an acknowledgement.
	pingInterval = time.Second
	// ackInterval is how often the receiver acknowledges.
	ackInterval = 400 * time.Millisecond
	// silenceTimeout is after how long without frames the receiver ends a link.
	silenceTimeout = 5 * time.Second
	// minRedialDelay is the first pause before another connection; it doubles up
	// to maxRedialWait.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
)

// bounds of a link's queue and frames. A frame stays below what a gRPC server
// takes by default.
const (
	maxQueuedMessages = 256
	maxFrameBytes     = 2 << 20
	maxMessageBytes   = 16 << 20
)
