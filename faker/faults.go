package faker

import (
	"context"
	"net/http"
	"sync"

	"burdocklink/encoder"
)

// faults holds the active faults of an engine.
type faults struct {
	mu     sync.Mutex
	active encoder.EngineFaults
	// cutsLeft counts down from CutTimes.
	cutsLeft int
	// lastSilenced is the highest number of a connection that stays silent.
	lastSilenced uint64
	connections  uint64
	// thawed is closed while the engine is not frozen.
	thawed chan struct{}
}

func newFaults() *faults {
	open := make(chan struct{})
	close(open)
	return &faults{thawed: open}
}

// set replaces all faults.
func (f *faults) set(wanted encoder.EngineFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setFrozen(wanted.Frozen)
	f.active = wanted
	f.cutsLeft = wanted.CutTimes
	if wanted.SilenceOpen {
		f.lastSilenced = f.connections
	}
}

// setFrozen replaces or closes the thawed channel. The mutex must be held.
func (f *faults) setFrozen(frozen bool) {
	if frozen == f.active.Frozen {
		return
	}
	if frozen {
		f.thawed = make(chan struct{})
		return
	}
	close(f.thawed)
}

func (f *faults) get() encoder.EngineFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}

// addConnection counts a connection that carries a stream and returns its
// number.
func (f *faults) addConnection() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connections++
	return f.connections
}

// silent reports whether nothing more is sent on a connection.
func (f *faults) silent(connection uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active.SilenceAll || connection <= f.lastSilenced
}

// cutNow reports whether to cut a connection on which the given number of events
// has been sent, and uses up one of CutTimes if it is set.
func (f *faults) cutNow(sent int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active.CutAfterTokens == 0 || sent < f.active.CutAfterTokens {
		return false
	}
	if f.active.CutTimes == 0 {
		return true
	}
	f.cutsLeft--
	return f.cutsLeft >= 0
}

// orderFault is the fault applied to one order.
type orderFault int

const (
	orderFaultNone orderFault = iota
	orderFaultLost
	orderFaultReplyLost
	orderFaultLate
)

// nextOrderFault takes the next order fault from the counts left.
func (f *faults) nextOrderFault() orderFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.active.LoseOrders > 0:
		f.active.LoseOrders--
		return orderFaultLost
	case f.active.LoseOrderReplies > 0:
		f.active.LoseOrderReplies--
		return orderFaultReplyLost
	case f.active.LateOrders > 0:
		f.active.LateOrders--
		return orderFaultLate
	default:
		return orderFaultNone
	}
}

// wait blocks while the engine is frozen, or until the context ends with its
// error.
func (f *faults) wait(ctx context.Context) error {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitUncancellable blocks while the engine is frozen.
func (f *faults) waitUncancellable() { _ = f.wait(context.Background()) }

// holdWhileFrozen delays requests while the engine is frozen.
func (f *faults) holdWhileFrozen(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := f.wait(r.Context()); err != nil {
			drop()
		}
		inner.ServeHTTP(w, r)
	})
}
