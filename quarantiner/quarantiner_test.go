package quarantiner_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/quarantiner"
)

// dialer returns a Dial function with a fixed result.
func dialer(err error) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		if err != nil {
			return nil, err
		}
		conn, _ := net.Pipe()
		return conn, nil
	}
}

func TestOnlyUpstreamsThatRefuseConnectionsHaveCrashed(t *testing.T) {
	cases := map[string]struct {
		err     error
		parts   []string
		crashed bool
	}{
		"refused":            {&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, []string{"d"}, true},
		"accepted":           {nil, []string{"d"}, false},
		"timed out":          {context.DeadlineExceeded, []string{"d"}, false},
		"unreachable":        {&net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}, []string{"d"}, false},
		"no shared part":     {&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, nil, false},
		"no more free ports": {&net.OpError{Op: "dial", Err: syscall.EADDRNOTAVAIL}, []string{"d"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := quarantiner.New(quarantiner.Settings{Dial: dialer(c.err)})
			pass, err := q.Admit(t.Context(), ofParts(c.parts...), time.Now().Add(time.Second))
			assert.NilError(t, err)
			assert.Equal(t, pass.Broken(t.Context(), quarantiner.Break{Upstream: "u1", Address: "address", Stage: quarantiner.StageBeginning}), c.crashed)
			assert.Equal(t, len(q.Crashes()) == 1, c.crashed)
		})
	}
}

func TestWaitingRequestIsSentWhenTheTrialIsAnswered(t *testing.T) {
	q := quarantiner.New(quarantiner.Settings{})
	q.Merge([]quarantiner.Crash{{Upstream: "u1", Parts: []string{"d"}, At: time.Now()}})
	trial, err := q.Admit(t.Context(), ofParts("d"), time.Now().Add(time.Second))
	assert.NilError(t, err)
	w := &waiter{quarantiner: q, result: make(chan error, 1)}
	go w.run(t.Context())
	time.Sleep(20 * time.Millisecond)
	trial.Answered()
	assert.NilError(t, <-w.result)
	trial.End()
	assert.Assert(t, trial.Valid())
}

// waiter waits for a pass.
type waiter struct {
	quarantiner *quarantiner.Quarantiner
	result      chan error
}

func (w *waiter) run(ctx context.Context) {
	_, err := w.quarantiner.Admit(ctx, ofParts("d"), time.Now().Add(20*time.Second))
	w.result <- err
}

func TestRequestIsRefusedWhenTheTrialLastsTooLong(t *testing.T) {
	q := quarantiner.New(quarantiner.Settings{})
	q.Merge([]quarantiner.Crash{{Upstream: "u1", Parts: []string{"d"}, At: time.Now()}})
	_, err := q.Admit(t.Context(), ofParts("d"), time.Now().Add(time.Second))
	assert.NilError(t, err)
	_, err = q.Admit(t.Context(), ofParts("d"), time.Now().Add(20*time.Millisecond))
	var pending *quarantiner.TrialPendingError
	assert.Assert(t, errors.As(err, &pending))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = q.Admit(ctx, ofParts("d"), time.Now().Add(time.Second))
	assert.ErrorIs(t, err, context.Canceled)
}

func TestOneEntryOfTheFleetProbes(t *testing.T) {
	const entries = 20
	crashedAt := time.Now().Add(-6 * time.Minute)
	for part := range 10 {
		parts := []string{fmt.Sprint("part-", part)}
		// a prompt's other parts differ from request to request
		probes := 0
		for i := range entries {
			q := quarantiner.New(quarantiner.Settings{Entry: fmt.Sprint("entry-", i)})
			var peers []string
			for other := range entries {
				if other != i {
					peers = append(peers, fmt.Sprint("entry-", other))
				}
			}
			q.SetPeers(peers)
			q.Merge([]quarantiner.Crash{
				{Upstream: "u1", Parts: parts, At: crashedAt}, {Upstream: "u2", Parts: parts, At: crashedAt.Add(time.Second)},
			})
			if _, err := q.Admit(t.Context(), ofParts(append([]string{fmt.Sprint("other-", i)}, parts...)...), time.Now().Add(time.Second)); err == nil {
				probes++
			}
		}
		assert.Equal(t, probes, 1)
	}
}

func TestChangesAreReturnedOnce(t *testing.T) {
	q := quarantiner.New(quarantiner.Settings{})
	observed := quarantiner.Crash{Upstream: "u1", Parts: []string{"d"}, At: time.Now()}
	for range 2 {
		q.Merge([]quarantiner.Crash{observed})
	}
	assert.Equal(t, len(q.Changes()), 1)
	assert.Equal(t, len(q.Changes()), 0)
	assert.Equal(t, len(q.Crashes()), 1)
}
