package administrator_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"burdocklink/administrator"
	"burdocklink/cataloger"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
)

// member is a fake control member.
type member struct {
	wire.UnimplementedOperatorServer
	status  *wire.StatusReply
	refusal error
}

func (m *member) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return m.status, m.refusal
}

func (m *member) Change(context.Context, *wire.ProposeRequest) (*wire.ProposeReply, error) {
	return &wire.ProposeReply{Outcome: &wire.ProposeReply_NotLeader{NotLeader: &wire.NotLeader{}}}, m.refusal
}

type testServer struct {
	server   *grpc.Server
	listener net.Listener
}

func (s testServer) run() { _ = s.server.Serve(s.listener) }

func serve(t *testing.T, m wire.OperatorServer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	wire.RegisterOperatorServer(server, m)
	go testServer{server: server, listener: listener}.run()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func newClient(t *testing.T, members ...*member) *administrator.Administrator {
	t.Helper()
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, serve(t, m))
	}
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	return administrator.New(administrator.Settings{Control: addresses, Links: links, Key: "key"})
}

func within(t *testing.T, wait time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	t.Cleanup(cancel)
	return ctx
}

func TestRevisionComesFromTheLeader(t *testing.T) {
	lagging := &member{status: &wire.StatusReply{Revision: 4}}
	leader := &member{status: &wire.StatusReply{Revision: 7, Leading: true}}

	revision, err := newClient(t, lagging, leader).Revision(within(t, 30*time.Second))

	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(7))
}

func TestRevisionFailsWithoutALeader(t *testing.T) {
	lagging := &member{status: &wire.StatusReply{Revision: 4}}

	_, err := newClient(t, lagging).Revision(within(t, time.Second))

	assert.ErrorType(t, err, &administrator.NoAnswerError{})
}

func TestRefusedKeyIsNotRetried(t *testing.T) {
	refusing := &member{refusal: status.Error(codes.Unauthenticated, "unknown key")}

	_, err := newClient(t, refusing).Change(within(t, 30*time.Second), "1", 0, []cataloger.Change{})

	assert.ErrorType(t, err, &administrator.RefusedError{})
}

// silentMember never answers a change.
type silentMember struct {
	wire.UnimplementedOperatorServer
}

func (silentMember) Change(ctx context.Context, _ *wire.ProposeRequest) (*wire.ProposeReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// namingMember names a leader.
type namingMember struct {
	wire.UnimplementedOperatorServer
	leader string
}

func (m namingMember) Change(context.Context, *wire.ProposeRequest) (*wire.ProposeReply, error) {
	return &wire.ProposeReply{Outcome: &wire.ProposeReply_NotLeader{NotLeader: &wire.NotLeader{Leader: m.leader}}}, nil
}

func TestChangeReachesLeaderAlthoughAnotherMemberNamesASilentOne(t *testing.T) {
	silent := serve(t, silentMember{})
	naming := serve(t, namingMember{leader: silent})
	refusing := serve(t, &member{refusal: status.Error(codes.InvalidArgument, "reached")})
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	client := administrator.New(administrator.Settings{Control: []string{silent, naming, refusing}, Links: links})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	started := time.Now()
	_, err := client.Change(ctx, "r", 0, []cataloger.Change{})
	assert.ErrorContains(t, err, "reached")
	assert.Assert(t, time.Since(started) < 3*time.Second, "took %v", time.Since(started))
}
