package sender_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/faker"
	"burdocklink/orderer"
	"burdocklink/sender"
)

// testTimeout is a generous timeout for all waits of these tests.
const testTimeout = 30 * time.Second

func startEngine(t *testing.T, checksFence bool) *faker.Engine {
	t.Helper()
	engine := faker.NewEngine(faker.EngineSettings{
		Name: "e", Incarnation: "i", MemoryBytes: 100, ChecksFence: checksFence,
	})
	assert.NilError(t, engine.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = engine.Stop(time.Now().Add(testTimeout)) })
	return engine
}

func startSender(t *testing.T) *sender.Sender {
	t.Helper()
	s := sender.New(sender.Settings{
		CallTimeout:     200 * time.Millisecond,
		MinPollInterval: time.Millisecond,
		MaxPollInterval: 20 * time.Millisecond,
	}, zap.NewNop())
	t.Cleanup(s.Stop)
	return s
}

func loadOrder(id uint64, incarnation string, lifetime time.Duration) orderer.Order {
	return orderer.Order{
		ID:          id,
		Upstream:    "e",
		Incarnation: incarnation,
		Work:        orderer.LoadModel{Model: "m", Version: "1", MemoryBytes: 10},
		Fence:       id,
		NotAfter:    time.Now().Add(lifetime),
	}
}

// nextEvent waits for an event.
func nextEvent(t *testing.T, s *sender.Sender) sender.Event {
	t.Helper()
	select {
	case event := <-s.Events():
		return event
	case <-time.After(testTimeout):
		t.Fatal("no event within the timeout")
		return nil
	}
}

// nextSettled waits for an order to be settled and skips other events.
func nextSettled(t *testing.T, s *sender.Sender) sender.Settled {
	t.Helper()
	for {
		if settled, ok := nextEvent(t, s).(sender.Settled); ok {
			return settled
		}
	}
}

func TestOrdersAreSettled(t *testing.T) {
	tests := map[string]struct {
		faults      encoder.EngineFaults
		incarnation string
		lifetime    time.Duration
		outcome     orderer.Outcome
		reason      string
	}{
		"no faults":              {incarnation: "i", lifetime: time.Minute, outcome: orderer.OutcomeDone},
		"order lost three times": {faults: encoder.EngineFaults{LoseOrders: 3}, incarnation: "i", lifetime: time.Minute, outcome: orderer.OutcomeDone},
		"reply lost":             {faults: encoder.EngineFaults{LoseOrderReplies: 1}, incarnation: "i", lifetime: time.Minute, outcome: orderer.OutcomeDone},
		"arrives late":           {faults: encoder.EngineFaults{LateOrders: 1, LateOrderMilliseconds: 50}, incarnation: "i", lifetime: time.Minute, outcome: orderer.OutcomeDone},
		"refused":                {incarnation: "other", lifetime: time.Minute, outcome: orderer.OutcomeRefused, reason: "wrong incarnation"},
		"expired":                {incarnation: "i", lifetime: -2 * orderer.ClockMargin, outcome: orderer.OutcomeExpired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engine := startEngine(t, true)
			engine.SetFaults(test.faults)
			s := startSender(t)
			order := loadOrder(7, test.incarnation, test.lifetime)
			s.Drive([]sender.Task{{Order: order, Address: engine.Address()}})
			settled := nextSettled(t, s)
			assert.Equal(t, settled.Order.ID, order.ID)
			assert.Equal(t, settled.Outcome, test.outcome)
			assert.Equal(t, settled.Reason, test.reason)
			assert.Equal(t, len(engine.Record().Violations), 0)
		})
	}
}

// An upstream that accepts calls and never answers is reported as unresponsive only after
// a call on a second connection.
func TestUnresponsiveUpstreamIsReportedAfterSecondConnection(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	s := startSender(t)
	s.Drive([]sender.Task{{Order: loadOrder(7, "i", time.Minute), Address: server.Listener.Addr().String()}})
	unresponsive, ok := nextEvent(t, s).(sender.Unresponsive)
	assert.Assert(t, ok)
	assert.Equal(t, connections.Load(), int64(2))
	assert.Equal(t, unresponsive.Upstream, "e")
}

// An upstream that has carried out an order refuses the duplicate because of the fence.
// The order must still be settled as done.
func TestRefusedDuplicateDoesNotSettleOrder(t *testing.T) {
	var queries atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"id":7,"state":"refused","reason":"old fence"}`))
		case queries.Add(1) == 1:
			w.WriteHeader(http.StatusNotFound)
		default:
			_, _ = w.Write([]byte(`{"id":7,"state":"done"}`))
		}
	}))
	defer server.Close()
	s := startSender(t)
	s.Drive([]sender.Task{{Order: loadOrder(7, "i", time.Minute), Address: server.Listener.Addr().String()}})
	assert.Equal(t, nextSettled(t, s).Outcome, orderer.OutcomeDone)
}

// Guards against an order that is settled by a reply whose length has a name that does not
// count.
func TestReplyWithInvalidFieldNameDoesNotSettleOrder(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n"+`{"id":7,"state":"done"}`)
		_ = conn.Close()
	}))
	defer server.Close()
	s := startSender(t)
	s.Drive([]sender.Task{{Order: loadOrder(7, "i", time.Minute), Address: server.Listener.Addr().String()}})
	unresponsive, ok := nextEvent(t, s).(sender.Unresponsive)
	assert.Assert(t, ok)
	var invalid *dispatcher.InvalidFieldError
	assert.Assert(t, errors.As(unresponsive.Cause, &invalid), "%v", unresponsive.Cause)
}

// Connections of this upstream go silent after their first call, so that each reused one
// would cost a timeout.
func TestConnectionsAreNotReused(t *testing.T) {
	var calls sync.Map
	var queries, reusedCalls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, reused := calls.LoadOrStore(r.RemoteAddr, true); reused {
			reusedCalls.Add(1)
			<-r.Context().Done()
			return
		}
		if queries.Add(1) < 5 {
			w.WriteHeader(http.StatusAccepted)
		}
		_, _ = w.Write([]byte(`{"id":7,"state":"running"}`))
	}))
	defer server.Close()
	s := startSender(t)
	s.Drive([]sender.Task{{Order: loadOrder(7, "i", time.Minute), Address: server.Listener.Addr().String()}})
	assert.Equal(t, nextSettled(t, s).Outcome, orderer.OutcomeDone)
	assert.Equal(t, reusedCalls.Load(), int64(0))
}

// The tasks are removed while the upstream does not answer, as when another member
// becomes the leader.
func TestRemovedOrdersAreNotSent(t *testing.T) {
	engine := startEngine(t, false)
	engine.SetFaults(encoder.EngineFaults{Frozen: true})
	s := startSender(t)
	s.Drive([]sender.Task{{Order: loadOrder(7, "i", time.Minute), Address: engine.Address()}})
	nextEvent(t, s)
	s.Drive(nil)
	s.Stop()
	engine.SetFaults(encoder.EngineFaults{})
	assert.Equal(t, len(engine.Record().Orders), 0)
}
