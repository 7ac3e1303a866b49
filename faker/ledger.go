package faker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"burdocklink/encoder"
)

// Order states of the upstream protocol.
const (
	orderRunning = "running"
	orderDone    = "done"
	orderRefused = "refused"
)

// Kinds of orders and weights of the upstream protocol.
const (
	kindLoadModel     = "load-model"
	kindUnloadModel   = "unload-model"
	kindLoadAdapter   = "load-adapter"
	kindUnloadAdapter = "unload-adapter"
	kindSetRole       = "set-role"
	kindModel         = "model"
	kindAdapter       = "adapter"
)

// weights are one model or adapter that is in memory or being loaded.
type weights struct {
	encoder.Weights
	ready     bool
	unloading bool
	// users is the number of requests that use the weights.
	users int
}

// ledger tracks an engine's memory and orders.
type ledger struct {
	settings EngineSettings

	mu         sync.Mutex
	journal    *journal
	held       map[string]*weights
	used       int64
	peakUsed   int64
	role       string
	fence      uint64
	lastOrder  uint64
	byID       map[uint64]encoder.OrderReply
	arrivals   []encoder.OrderArrival
	violations []string
}

func newLedger(settings EngineSettings) *ledger {
	l := &ledger{
		settings: settings,
		held:     map[string]*weights{},
		role:     "mixed",
		byID:     map[uint64]encoder.OrderReply{},
	}
	for _, each := range settings.Holds {
		l.held[each.Name] = &weights{Weights: each, ready: true}
		l.reserve(each.Name, each.MemoryBytes)
	}
	return l
}

// setJournal sets the journal for memory use and orders, and writes the current
// use to it.
func (l *ledger) setJournal(to *journal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal = to
	l.journal.add(encoder.JournalLine{UsedBytes: l.used})
}

// reserve adds to the memory in use and records an overcommit as a violation;
// bytes may be negative. The mutex must be held.
func (l *ledger) reserve(name string, bytes int64) {
	l.used += bytes
	l.peakUsed = max(l.peakUsed, l.used)
	l.journal.add(encoder.JournalLine{UsedBytes: l.used})
	if bytes <= 0 || l.used <= l.settings.MemoryBytes {
		return
	}
	l.violations = append(l.violations, fmt.Sprintf(
		"memory overcommitted by %s: %d of %d bytes", name, l.used, l.settings.MemoryBytes))
}

// acquire adds a user to ready weights. It returns false if they are absent,
// loading or unloading.
func (l *ledger) acquire(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.held[name]
	if found == nil || !found.ready || found.unloading {
		return false
	}
	found.users++
	return true
}

// release removes a user.
func (l *ledger) release(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found := l.held[name]; found != nil && found.users > 0 {
		found.users--
	}
}

// readyNames returns the names of the ready weights of a kind, sorted. The mutex
// must be held.
func (l *ledger) readyNames(kind string) []string {
	names := []string{}
	for name, each := range l.held {
		if each.Kind == kind && each.ready && !each.unloading {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// fillReport sets the fields of a load report on memory, weights, role and
// orders.
func (l *ledger) fillReport(into *encoder.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	into.MemoryBytes = l.settings.MemoryBytes
	into.UsedBytes = l.used
	into.Models = l.readyNames(kindModel)
	into.Adapters = l.readyNames(kindAdapter)
	into.Role = l.role
	into.LastOrder = l.lastOrder
}

// record returns the orders, the memory in use and its violations.
func (l *ledger) record() encoder.EngineRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return encoder.EngineRecord{
		MemoryBytes:   l.settings.MemoryBytes,
		UsedBytes:     l.used,
		MostUsedBytes: l.peakUsed,
		Violations:    slices.Clone(l.violations),
		Orders:        slices.Clone(l.arrivals),
		Models:        l.readyNames(kindModel),
		Adapters:      l.readyNames(kindAdapter),
	}
}

// lookup returns the state of an order, and whether it has arrived.
func (l *ledger) lookup(id uint64) (encoder.OrderReply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply, known := l.byID[id]
	return reply, known
}

// accept records an order and returns its state. A repeated order gets the state
// of the first one. The boolean reports whether to execute the order now.
func (l *ledger) accept(order encoder.OrderRequest, now time.Time) (encoder.OrderReply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply, repeated := l.byID[order.ID]
	if !repeated {
		reply = l.decide(order, now)
		l.byID[order.ID] = reply
	}
	arrival := encoder.OrderArrival{
		OrderRequest: order,
		Arrived:      now,
		State:        reply.State,
		Reason:       reply.Reason,
		Repeated:     repeated,
	}
	l.arrivals = append(l.arrivals, arrival)
	l.journal.add(encoder.JournalLine{Order: &arrival})
	return reply, !repeated && reply.State == orderRunning
}

// decide checks the incarnation, deadline and fencing token of a new order, and
// whether it can be executed. The mutex must be held.
func (l *ledger) decide(order encoder.OrderRequest, now time.Time) encoder.OrderReply {
	reply := encoder.OrderReply{ID: order.ID, State: orderRefused}
	switch {
	case order.Incarnation != l.settings.Incarnation:
		reply.Reason = "wrong incarnation"
	case !order.NotAfter.IsZero() && now.After(order.NotAfter):
		reply.Reason = "too late"
	case l.settings.ChecksFence && order.Fence < l.fence:
		reply.Reason = "old fence"
	default:
		reply.Reason = l.refusalReason(order)
	}
	if reply.Reason != "" {
		l.lastOrder = max(l.lastOrder, order.ID)
		return reply
	}
	l.fence = max(l.fence, order.Fence)
	reply.State = orderRunning
	return reply
}

// refusalReason returns why an order can't be executed on the weights held, or
// "". The mutex must be held.
func (l *ledger) refusalReason(order encoder.OrderRequest) string {
	switch order.Kind {
	case kindLoadAdapter:
		if base := l.held[order.Model]; base == nil || base.unloading {
			return "base model not held"
		}
	case kindUnloadModel:
		for _, each := range l.held {
			if each.Base == order.Model {
				return "adapter " + each.Name + " needs the model"
			}
		}
	case kindLoadModel, kindUnloadAdapter, kindSetRole:
	default:
		return "unknown kind " + order.Kind
	}
	return ""
}

// settle records the end of an order; a reason means that it was refused.
func (l *ledger) settle(id uint64, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := encoder.OrderReply{ID: id, State: orderDone}
	if reason != "" {
		reply = encoder.OrderReply{ID: id, State: orderRefused, Reason: reason}
	}
	l.byID[id] = reply
	l.lastOrder = max(l.lastOrder, id)
}
