package seeker_test

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"burdocklink/chooser"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/seeker"
	"burdocklink/surveyor"
)

// leader is a fake control member.
type leader struct {
	wire.UnimplementedControlServer
	calls atomic.Int32
	reply func(call int32) *wire.WantReply
	// block delays the answer if it is not nil.
	block func(ctx context.Context)
}

func (l *leader) Want(ctx context.Context, _ *wire.WantRequest) (*wire.WantReply, error) {
	if l.block != nil {
		l.block(ctx)
		return nil, ctx.Err()
	}
	return l.reply(l.calls.Add(1)), nil
}

// newSeeker returns a seeker, its fake leader and the holdings that it received.
func newSeeker(t *testing.T, reply func(call int32) *wire.WantReply) (*seeker.Seeker, *leader, *[]surveyor.EngineHoldings) {
	t.Helper()
	return newSeekerWithHeld(t, nil, reply)
}

// newSeekerWithHeld is newSeeker for an entry that may know holders itself.
func newSeekerWithHeld(t *testing.T, held func(string, string) bool, reply func(call int32) *wire.WantReply) (*seeker.Seeker, *leader, *[]surveyor.EngineHoldings) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &leader{reply: reply}
	server := grpc.NewServer()
	wire.RegisterControlServer(server, l)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	var received []surveyor.EngineHoldings
	return seeker.New(seeker.Settings{
		Links: links, Leader: listener.Addr().String, Held: held, Log: zap.NewNop(),
		UpdateHoldings: func(got []surveyor.EngineHoldings) { received = append(received, got...) },
	}), l, &received
}

func TestWant(t *testing.T) {
	heldReply := &wire.WantReply{Leading: true, Holdings: []*wire.Holding{{Upstream: "e1", Incarnation: "e1@1"}}}
	cases := map[string]struct {
		reply func(call int32) *wire.WantReply
		calls int32
		found bool
	}{
		"held": {func(int32) *wire.WantReply { return heldReply }, 1, true},
		"held soon": {func(call int32) *wire.WantReply {
			if call < 3 {
				return &wire.WantReply{Leading: true, ReadyInMs: 10}
			}
			return heldReply
		}, 3, true},
		"not in time": {func(int32) *wire.WantReply { return &wire.WantReply{Leading: true, ReadyInMs: 60_000} }, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, l, received := newSeeker(t, c.reply)
			err := s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "a1", Deadline: time.Now().Add(10 * time.Second)})
			assert.Equal(t, l.calls.Load(), c.calls)
			if c.found {
				assert.NilError(t, err)
				assert.Equal(t, (*received)[0].Upstream, "e1")
				return
			}
			var absent *chooser.AbsentError
			assert.Assert(t, errors.As(err, &absent))
			assert.Assert(t, time.Until(absent.RetryAt) > 30*time.Second)
		})
	}
}

func TestWantEndsAtDeadline(t *testing.T) {
	s, _, _ := newSeeker(t, func(int32) *wire.WantReply { return &wire.WantReply{ReadyInMs: -1} })
	err := s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "", Deadline: time.Now().Add(100 * time.Millisecond)})
	var absent *chooser.AbsentError
	assert.Assert(t, errors.As(err, &absent))
}

// Callers gave up while their requests waited for the leader's answer, and never received
// a retry time (load test grown cukorvirag-foglalo, scale 1).
func TestWantDoesNotWaitForASlowLeader(t *testing.T) {
	var ended atomic.Int32
	s, l, _ := newSeeker(t, nil)
	l.block = func(ctx context.Context) {
		<-ctx.Done()
		ended.Add(1)
	}
	err := s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "a1", Deadline: time.Now().Add(50 * time.Millisecond)})
	var absent *chooser.AbsentError
	assert.Assert(t, errors.As(err, &absent))
	assert.Equal(t, ended.Load(), int32(0))
}

func TestExpiredCallerDoesNotBlockOtherQueries(t *testing.T) {
	release := make(chan struct{})
	s, l, _ := newSeeker(t, func(call int32) *wire.WantReply {
		if call == 1 {
			<-release
		}
		return &wire.WantReply{Leading: true, ReadyInMs: 60_000}
	})
	defer close(release)
	assert.Assert(t, s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "slow", Deadline: time.Now().Add(200 * time.Millisecond)}) != nil)
	assert.Assert(t, s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "other", Deadline: time.Now().Add(20 * time.Millisecond)}) != nil)
	for end := time.Now().Add(5 * time.Second); l.calls.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, l.calls.Load(), int32(2))
}

func TestAnswerIsMergedOnceForAllWaiters(t *testing.T) {
	const callers = 20
	release := make(chan struct{})
	s, l, received := newSeeker(t, func(int32) *wire.WantReply {
		<-release
		return &wire.WantReply{Leading: true, Holdings: []*wire.Holding{{Upstream: "e1", Incarnation: "e1@1"}}}
	})
	by := time.Now().Add(10 * time.Second)
	var ended sync.WaitGroup
	for range callers {
		ended.Go(func() {
			_ = s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "a1", Deadline: by})
		})
	}
	for l.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	ended.Wait()
	assert.Equal(t, len(*received), int(l.calls.Load()))
}

func TestQueryRateWithoutLeaderIsLimited(t *testing.T) {
	s, l, _ := newSeeker(t, func(int32) *wire.WantReply { return &wire.WantReply{ReadyInMs: -1} })
	by := time.Now().Add(2 * time.Second)
	var ended sync.WaitGroup
	for i := range 50 {
		ended.Go(func() {
			_ = s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: strconv.Itoa(i), Deadline: by})
		})
	}
	ended.Wait()
	// the first ones at the same time, then one after another
	assert.Assert(t, l.calls.Load() <= 50+20, "%d queries in two seconds", l.calls.Load())
}

func TestWaitEndsWhenHolderBecomesKnown(t *testing.T) {
	knownAt := time.Now().Add(300 * time.Millisecond)
	held := func(name, _ string) bool { return name == surveyor.HeldName("s", "m", "") && time.Now().After(knownAt) }
	s, l, _ := newSeekerWithHeld(t, held, func(int32) *wire.WantReply { return &wire.WantReply{Leading: true, ReadyInMs: 5000} })
	assert.NilError(t, s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "", Deadline: time.Now().Add(20 * time.Second)}))
	assert.Assert(t, time.Since(knownAt) < time.Second)
	assert.Equal(t, l.calls.Load(), int32(1))
}

func TestUnreachableHolderIsNotQueriedOnEachAttempt(t *testing.T) {
	held := &wire.WantReply{Leading: true, Holdings: []*wire.Holding{{Upstream: "e1", Incarnation: "e1@1"}}}
	s, l, _ := newSeeker(t, func(int32) *wire.WantReply { return held })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.NilError(t, s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "a1", Deadline: end.Add(time.Second)}))
	}
	assert.Assert(t, l.calls.Load() <= 5, "%d queries in a second", l.calls.Load())
}

func TestLocallyKnownHolderIsNotQueriedOnEachAttempt(t *testing.T) {
	held := func(string, string) bool { return true }
	s, l, _ := newSeekerWithHeld(t, held, func(int32) *wire.WantReply { return &wire.WantReply{Leading: true, ReadyInMs: 100} })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.NilError(t, s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "a1", Deadline: end.Add(time.Second)}))
	}
	assert.Assert(t, l.calls.Load() <= 5, "%d queries in a second", l.calls.Load())
}

func TestQueryRateIsLimitedIfReadyTimeIsUnknown(t *testing.T) {
	s, l, _ := newSeeker(t, func(int32) *wire.WantReply { return &wire.WantReply{Leading: true, ReadyInMs: -1} })
	_ = s.Want(t.Context(), chooser.Requirement{Service: "s", Model: "m", Adapter: "a1", Deadline: time.Now().Add(2 * time.Second)})
	assert.Assert(t, l.calls.Load() <= 9, "%d queries in two seconds", l.calls.Load())
}
