package faker

import (
	"context"
	"net/http"
	"sync"

	"burdocklink/encoder"
)

// faults are the faults of an engine that are switched on.
type faults struct {
	mu  sync.Mutex
	now encoder.EngineFaults
	// cutsLeft counts down from CutTimes.
	cutsLeft int
	// silenced is the number of the last connection that stays silent.
	silenced    uint64
	connections uint64
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
	f.freeze(wanted.Frozen)
	f.now = wanted
	f.cutsLeft = wanted.CutTimes
	if wanted.SilenceOpen {
		f.silenced = f.connections
	}
}

// freeze opens or closes the gate. The mutex must be held.
func (f *faults) freeze(frozen bool) {
	if frozen == f.now.Frozen {
		return
	}
	if frozen {
		f.thawed = make(chan struct{})
		return
	}
	close(f.thawed)
}

// get returns the faults of the moment.
func (f *faults) get() encoder.EngineFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// connect numbers a connection that carries a stream.
func (f *faults) connect() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connections++
	return f.connections
}

// silent says whether a connection has fallen silent.
func (f *faults) silent(connection uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.SilenceAll || connection <= f.silenced
}

// cut says whether a connection is to be cut after the events it has sent.
func (f *faults) cut(sent int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.CutAfterTokens == 0 || sent < f.now.CutAfterTokens {
		return false
	}
	if f.now.CutTimes == 0 {
		return true
	}
	f.cutsLeft--
	return f.cutsLeft >= 0
}

// loss is what happens to an order on its way.
type loss int

const (
	lossNone loss = iota
	lossOrder
	lossReply
	lossLate
)

// loseOrder counts the next order down from the faults that are left.
func (f *faults) loseOrder() loss {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.now.LoseOrders > 0:
		f.now.LoseOrders--
		return lossOrder
	case f.now.LoseOrderReplies > 0:
		f.now.LoseOrderReplies--
		return lossReply
	case f.now.LateOrders > 0:
		f.now.LateOrders--
		return lossLate
	default:
		return lossNone
	}
}

// wait blocks while the engine is frozen.
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

// waitAlways blocks while the engine is frozen, whoever waits.
func (f *faults) waitAlways() { _ = f.wait(context.Background()) }

// thaw holds back requests while the engine is frozen.
func (f *faults) thaw(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := f.wait(r.Context()); err != nil {
			drop()
		}
		inner.ServeHTTP(w, r)
	})
}
