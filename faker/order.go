package faker

import (
	"net/http"
	"strconv"
	"time"

	"burdocklink/encoder"
)

const unloadPollInterval = 2 * time.Millisecond

// handleOrder serves POST PathOrders and applies the active order faults.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order encoder.OrderRequest
	if !read(w, r, &order) {
		return
	}
	switch e.faults.nextOrderFault() {
	case orderFaultLost:
		drop()
	case orderFaultLate:
		late := time.Duration(e.faults.get().LateOrderMilliseconds) * time.Millisecond
		go (&execution{engine: e, order: order, arrival: time.Now().Add(late)}).runLate()
		drop()
	case orderFaultReplyLost:
		e.acceptOrder(order)
		drop()
	case orderFaultNone:
		reply := e.acceptOrder(order)
		answer(w, orderStatus(reply), reply)
	}
}

// acceptOrder records an order and, unless it is refused or repeated, executes
// it in the background.
func (e *Engine) acceptOrder(order encoder.OrderRequest) encoder.OrderReply {
	reply, begin := e.ledger.accept(order, time.Now())
	if !begin {
		return reply
	}
	begun := &execution{engine: e, order: order}
	begun.begin()
	go begun.run()
	return reply
}

// handleOrderQuery serves GET PathOrders/ID.
func (e *Engine) handleOrderQuery(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	reply, known := e.ledger.lookup(id)
	if !known {
		refuse(w, http.StatusNotFound, "order_not_found", "no such order")
		return
	}
	answer(w, orderStatus(reply), reply)
}

func orderStatus(reply encoder.OrderReply) int {
	switch reply.State {
	case orderDone:
		return http.StatusOK
	case orderRefused:
		return http.StatusConflict
	default:
		return http.StatusAccepted
	}
}

// execution executes one order.
type execution struct {
	engine *Engine
	order  encoder.OrderRequest
	// arrival is when a late order arrives.
	arrival time.Time
}

// runLate accepts the order at its arrival time.
func (x *execution) runLate() {
	time.Sleep(time.Until(x.arrival))
	x.engine.acceptOrder(x.order)
}

// name returns the adapter of the order, or else its model.
func (x *execution) name() string {
	if x.order.Adapter != "" {
		return x.order.Adapter
	}
	return x.order.Model
}

// begin applies the effects that come before the work: loads reserve memory, and
// weights to be unloaded refuse new requests.
func (x *execution) begin() {
	ledger := x.engine.ledger
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	switch x.order.Kind {
	case kindLoadModel, kindLoadAdapter:
		if !ledger.holds(x.name(), x.order.Version) {
			ledger.reserve(x.name(), x.order.MemoryBytes)
		}
	case kindUnloadModel, kindUnloadAdapter:
		if found := ledger.held[x.name()]; found != nil {
			found.unloading = true
		}
	case kindSetRole:
		ledger.role = x.order.Role
	}
}

// holds reports whether a version of the weights is in memory. The mutex must be
// held.
func (l *ledger) holds(name, version string) bool {
	found := l.held[name]
	return found != nil && found.Version == version
}

// run carries the order out and settles it.
func (x *execution) run() {
	reason := ""
	switch x.order.Kind {
	case kindLoadModel, kindLoadAdapter:
		reason = x.load()
	case kindUnloadModel, kindUnloadAdapter:
		x.unload()
	}
	x.engine.faults.waitUncancellable()
	x.engine.ledger.settle(x.order.ID, reason)
}

// load fetches weights into memory. It returns why that failed, or "".
func (x *execution) load() string {
	ledger := x.engine.ledger
	ledger.mu.Lock()
	held := ledger.holds(x.name(), x.order.Version)
	ledger.mu.Unlock()
	if held {
		return ""
	}
	fetched, err := x.fetch()
	time.Sleep(x.engine.settings.LoadTime)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if err != nil {
		ledger.used -= x.order.MemoryBytes
		return "store: " + err.Error()
	}
	ledger.reserve(x.name(), fetched.MemoryBytes-x.order.MemoryBytes)
	if old := ledger.held[x.name()]; old != nil {
		ledger.used -= old.MemoryBytes
	}
	ledger.held[x.name()] = &weights{Weights: fetched, ready: true}
	return ""
}

// fetch returns the weights of the order, with the store's size of them if
// there is a store.
func (x *execution) fetch() (encoder.Weights, error) {
	fetched := encoder.Weights{
		Name:        x.name(),
		Kind:        kindModel,
		Version:     x.order.Version,
		MemoryBytes: x.order.MemoryBytes,
	}
	if x.order.Kind == kindLoadAdapter {
		fetched.Kind = kindAdapter
		fetched.Base = x.order.Model
	}
	if x.engine.settings.Store == "" {
		return fetched, nil
	}
	stored, err := fetchWeights(x.engine.settings.Store, x.name())
	if err != nil {
		return encoder.Weights{}, err
	}
	fetched.MemoryBytes = stored.MemoryBytes
	return fetched, nil
}

// unload waits until no request uses the weights and frees them.
func (x *execution) unload() {
	ledger := x.engine.ledger
	for !ledger.tryUnload(x.name()) {
		time.Sleep(unloadPollInterval)
	}
}

// tryUnload removes weights. It returns false while a request uses them.
func (l *ledger) tryUnload(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.held[name]
	if found == nil {
		return true
	}
	if found.users > 0 {
		return false
	}
	l.used -= found.MemoryBytes
	delete(l.held, name)
	return true
}
