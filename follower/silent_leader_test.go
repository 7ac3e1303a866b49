package follower

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/placer"
)

// fakeMember is a control member that sends the same updates every 50 ms. While frozen
// it accepts connections and sends nothing.
type fakeMember struct {
	wire.UnimplementedControlServer
	updates atomic.Pointer[[]*wire.FollowReply]
	frozen  atomic.Bool
}

func (m *fakeMember) send(updates ...*wire.FollowReply) { m.updates.Store(&updates) }

func (m *fakeMember) Follow(stream grpc.BidiStreamingServer[wire.FollowRequest, wire.FollowReply]) error {
	for ; stream.Context().Err() == nil; time.Sleep(50 * time.Millisecond) {
		for _, update := range *m.updates.Load() {
			if m.frozen.Load() {
				break
			}
			if err := stream.Send(update); err != nil {
				return err
			}
		}
	}
	return stream.Context().Err()
}

func (m *fakeMember) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	wire.RegisterControlServer(server, m)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func snapshotUpdate(t *testing.T, revision uint64) *wire.FollowReply {
	return &wire.FollowReply{Update: &wire.FollowReply_Snapshot{Snapshot: delta(t, 0, revision, "waiting")}}
}

func heartbeatUpdate(leader string, leading bool, revision uint64) *wire.FollowReply {
	return &wire.FollowReply{Update: &wire.FollowReply_Heartbeat{Heartbeat: &wire.Heartbeat{
		Echo: 1, Revision: revision, Leader: leader, Leading: leading,
	}}}
}

// startFollower starts a follower of control members.
func startFollower(t *testing.T, control ...string) *Follower {
	t.Helper()
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	f := New(Settings{
		Entry: "e-1", Control: control, Links: links, Log: zap.NewNop(),
		OnCatalog: func(*cataloger.Catalog) {},
		Demand:    func() placer.Demand { return placer.Demand{} },
	})
	assert.NilError(t, f.Start(context.Background(), nil))
	t.Cleanup(func() { _ = f.Stop(time.Now().Add(time.Second)) })
	return f
}

// awaitInForce returns how long it takes until a revision is in force.
func awaitInForce(t *testing.T, f *Follower, revision uint64) time.Duration {
	t.Helper()
	const limit = 30 * time.Second
	started := time.Now()
	for f.Catalog() == nil || f.Catalog().Revision < revision {
		assert.Assert(t, time.Since(started) < limit, "revision %d is not in force", revision)
		time.Sleep(time.Millisecond)
	}
	return time.Since(started)
}

// A change is late if the entry returns to a leader that has just been silent.
func TestChangesAreNotLateAfterLeaderFallsSilent(t *testing.T) {
	cases := map[string]int{"leader is the first member": 0, "leader is the second member": 1}
	for name, position := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			old, successor, other := &fakeMember{}, &fakeMember{}, &fakeMember{}
			addresses := []string{successor.start(t), other.start(t)}
			control := append(append([]string{}, addresses[:position]...), old.start(t))
			control = append(control, addresses[position:]...)
			oldAddress := control[position]
			old.send(snapshotUpdate(t, 1), heartbeatUpdate(oldAddress, true, 1))
			successor.send(snapshotUpdate(t, 1), heartbeatUpdate(oldAddress, false, 1))
			other.send(snapshotUpdate(t, 1), heartbeatUpdate(oldAddress, false, 1))
			f := startFollower(t, control...)
			awaitInForce(t, f, 1)

			old.frozen.Store(true)
			successor.send(snapshotUpdate(t, 2), heartbeatUpdate(addresses[0], true, 2))
			other.send(snapshotUpdate(t, 2), heartbeatUpdate(addresses[0], false, 2))
			took := awaitInForce(t, f, 2)

			assert.Assert(t, took < streamTimeout+time.Second, "in force after %v", took)
			assert.Equal(t, f.Leader(), addresses[0])
		})
	}
}

// A member is passed over without need if it restarts or if this entry was suspended.
func TestMemberIsCalledAgainWhenSilenceWasShortOrOwn(t *testing.T) {
	opened := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		end    streamEnd
		named  string
		silent bool
		leader string
	}{
		"restarting":                       {streamEnd{endedAt: opened.Add(time.Millisecond)}, "", false, ""},
		"no connection":                    {streamEnd{endedAt: opened.Add(connectTimeout)}, "", true, ""},
		"silent":                           {streamEnd{heardAt: opened.Add(time.Second), endedAt: opened.Add(3 * time.Second)}, "", true, ""},
		"connection reset":                 {streamEnd{heardAt: opened.Add(time.Second), endedAt: opened.Add(time.Second)}, "", false, "a"},
		"silent, but another one names it": {streamEnd{heardAt: opened.Add(time.Second), endedAt: opened.Add(3 * time.Second)}, "a", false, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, members := newTestFollower(func(*cataloger.Catalog) {}), linker.NewRotation()
			leader := "a"
			f.leader.Store(&leader)
			c.end.address, c.end.opened = "a", opened
			f.rate(members, c.end)
			if c.named != "" {
				f.rate(members, streamEnd{
					address: "b", opened: c.end.endedAt, heardAt: c.end.endedAt, endedAt: c.end.endedAt,
					err: &NotLeaderError{Leader: c.named},
				})
			}
			assert.Equal(t, members.Silent("a", c.end.endedAt), c.silent)
			assert.Equal(t, f.Leader(), c.leader)
		})
	}
}
