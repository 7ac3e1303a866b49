package messenger_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"burdocklink/messenger"
	"burdocklink/replicator"
)

// waitTimeout is generous, so that slow machines do not fail the tests.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is the messenger and server of one member.
type node struct {
	*messenger.Messenger
	id        replicator.Identity
	address   string
	delivered chan replicator.Envelope
	listener  net.Listener
	server    *grpc.Server
}

func (n *node) runServer() { _ = n.server.Serve(n.listener) }

func newNode(t *testing.T, name string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{
		id:        replicator.Identity{Name: name, Disk: "disk-" + name},
		address:   listener.Addr().String(),
		delivered: make(chan replicator.Envelope, 1000),
		listener:  listener,
		server:    grpc.NewServer(),
	}
	n.Messenger = messenger.New(messenger.Settings{
		Self:    n.id,
		Address: n.address,
		Deliver: func(envelope replicator.Envelope) { n.delivered <- envelope },
		Group:   func() string { return "g" },
		Log:     zap.NewNop(),
		Metrics: metrics.NewRegistry(),
	})
	n.Register(n.server)
	go n.runServer()
	t.Cleanup(func() {
		n.Close()
		n.server.Stop()
	})
	return n
}

func (n *node) member(address string) replicator.Member {
	return replicator.Member{ID: n.id, Address: address, Role: replicator.Voter}
}

// sendUntilDelivered repeats a message to another node until one is delivered.
func (n *node) sendUntilDelivered(t *testing.T, to *node) replicator.Envelope {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		n.Send(replicator.Envelope{Group: "g", From: n.id, To: to.id, Term: 1, Message: replicator.TimeoutNow{}})
		select {
		case envelope := <-to.delivered:
			return envelope
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Fatal("no message delivered")
	return replicator.Envelope{}
}

func TestMessagesArriveAndAddressesAreLearned(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.SetRoutes([]replicator.Member{b.member(b.address)})
	got := a.sendUntilDelivered(t, b)
	assert.DeepEqual(t, got.From, a.id)
	assert.DeepEqual(t, got.To, b.id)
	assert.DeepEqual(t, b.sendUntilDelivered(t, a).From, b.id)
	introduction, err := a.Introduce(context.Background(), b.address)
	assert.NilError(t, err)
	assert.DeepEqual(t, introduction, messenger.Introduction{ID: b.id, Group: "g"})
}

func TestMessagesForAnotherDiskAreNotDelivered(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	old := b.member(b.address)
	old.ID.Disk = "old"
	a.SetRoutes([]replicator.Member{old})
	a.Send(replicator.Envelope{From: a.id, To: old.ID, Message: replicator.TimeoutNow{}})
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, len(b.delivered), 0)
}

// proxy forwards bytes. It can be made to discard the bytes of its current
// connections, while new ones work.
type proxy struct {
	listener   net.Listener
	target     string
	blackholed atomic.Int64
	conns      atomic.Int64
}

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		number := p.conns.Add(1)
		go p.runCopy(number, conn, server)
		go p.runCopy(number, server, conn)
	}
}

func (p *proxy) runCopy(number int64, from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if number <= p.blackholed.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil && err != io.EOF {
			return
		}
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	link := &proxy{listener: listener, target: b.address}
	go link.run()
	t.Cleanup(func() { _ = listener.Close() })
	a.SetRoutes([]replicator.Member{b.member(listener.Addr().String())})
	a.sendUntilDelivered(t, b)
	link.blackholed.Store(link.conns.Load())
	for len(b.delivered) > 0 {
		<-b.delivered
	}
	a.sendUntilDelivered(t, b)
	assert.Assert(t, link.conns.Load() > 1)
}
