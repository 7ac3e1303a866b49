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

// waitTime is a generous end of every wait.
const waitTime = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// end is one member's messenger with its server.
type end struct {
	*messenger.Messenger
	id       replicator.Identity
	address  string
	arrived  chan replicator.Envelope
	listener net.Listener
	server   *grpc.Server
}

func (e *end) runServer() { _ = e.server.Serve(e.listener) }

func newEnd(t *testing.T, name string) *end {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &end{
		id:       replicator.Identity{Name: name, Disk: "disk-" + name},
		address:  listener.Addr().String(),
		arrived:  make(chan replicator.Envelope, 1000),
		listener: listener,
		server:   grpc.NewServer(),
	}
	e.Messenger = messenger.New(messenger.Settings{
		Self:    e.id,
		Address: e.address,
		Deliver: func(envelope replicator.Envelope) { e.arrived <- envelope },
		Group:   func() string { return "g" },
		Log:     zap.NewNop(),
		Metrics: metrics.NewRegistry(),
	})
	e.Register(e.server)
	go e.runServer()
	t.Cleanup(func() {
		e.Close()
		e.server.Stop()
	})
	return e
}

func (e *end) member(address string) replicator.Member {
	return replicator.Member{ID: e.id, Address: address, Role: replicator.Voter}
}

// sendUntilArrived sends to another end until something arrives there.
func (e *end) sendUntilArrived(t *testing.T, to *end) replicator.Envelope {
	t.Helper()
	for until := time.Now().Add(waitTime); time.Now().Before(until); {
		e.Send(replicator.Envelope{Group: "g", From: e.id, To: to.id, Term: 1, Message: replicator.TimeoutNow{}})
		select {
		case envelope := <-to.arrived:
			return envelope
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Fatal("nothing arrived")
	return replicator.Envelope{}
}

func TestMessagesArriveAndAddressesAreLearned(t *testing.T) {
	a, b := newEnd(t, "a"), newEnd(t, "b")
	a.Route([]replicator.Member{b.member(b.address)})
	got := a.sendUntilArrived(t, b)
	assert.DeepEqual(t, got.From, a.id)
	assert.DeepEqual(t, got.To, b.id)
	assert.DeepEqual(t, b.sendUntilArrived(t, a).From, b.id)
	known, err := a.Introduce(context.Background(), b.address)
	assert.NilError(t, err)
	assert.DeepEqual(t, known, messenger.Introduction{ID: b.id, Group: "g"})
}

func TestAnotherDiskGetsNothing(t *testing.T) {
	a, b := newEnd(t, "a"), newEnd(t, "b")
	old := b.member(b.address)
	old.ID.Disk = "old"
	a.Route([]replicator.Member{old})
	a.Send(replicator.Envelope{From: a.id, To: old.ID, Message: replicator.TimeoutNow{}})
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, len(b.arrived), 0)
}

// relay passes bytes on, until it is told to swallow those of the connections
// it has; new connections work.
type relay struct {
	listener net.Listener
	target   string
	silenced atomic.Int64
	conns    atomic.Int64
}

func (r *relay) run() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		number := r.conns.Add(1)
		go r.runCopy(number, conn, up)
		go r.runCopy(number, up, conn)
	}
}

func (r *relay) runCopy(number int64, from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if number <= r.silenced.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil && err != io.EOF {
			return
		}
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newEnd(t, "a"), newEnd(t, "b")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	between := &relay{listener: listener, target: b.address}
	go between.run()
	t.Cleanup(func() { _ = listener.Close() })
	a.Route([]replicator.Member{b.member(listener.Addr().String())})
	a.sendUntilArrived(t, b)
	between.silenced.Store(between.conns.Load())
	for len(b.arrived) > 0 {
		<-b.arrived
	}
	a.sendUntilArrived(t, b)
	assert.Assert(t, between.conns.Load() > 1)
}
