package proposer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/claimer"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/proposer"
)

// fakeMember is a control member that leads, or names another leader, or never replies.
type fakeMember struct {
	wire.UnimplementedControlServer
	leads  bool
	leader string
}

func (m *fakeMember) Propose(ctx context.Context, _ *wire.ProposeRequest) (*wire.ProposeReply, error) {
	switch {
	case m.leads:
		applied, err := encoder.EncodeApplied(applier.Applied{Result: applier.ClaimResult{Result: claimer.Full{}}})
		return &wire.ProposeReply{Outcome: &wire.ProposeReply_Applied{Applied: applied}}, err
	case m.leader != "":
		return &wire.ProposeReply{Outcome: &wire.ProposeReply_NotLeader{NotLeader: &wire.NotLeader{Leader: m.leader}}}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (m *fakeMember) run(server *grpc.Server, listener net.Listener) { _ = server.Serve(listener) }

func (m *fakeMember) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	wire.RegisterControlServer(server, m)
	go m.run(server, listener)
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func TestClaimIsNotDelayedTwiceBySilentLeader(t *testing.T) {
	silent := (&fakeMember{}).start(t)
	unaware := (&fakeMember{leader: silent}).start(t)
	leader := (&fakeMember{leads: true}).start(t)
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	p := proposer.New(proposer.Settings{
		Control: []string{silent, unaware, leader},
		Links:   links,
		Leader:  func() string { return silent },
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	started := time.Now()
	_, err := p.Claim(ctx, claimer.Open{})
	assert.NilError(t, err)
	assert.Assert(t, time.Since(started) < 2500*time.Millisecond, "took %v", time.Since(started))
}
