package applier_test

import (
	"time"

	"burdocklink/cataloger"
	"burdocklink/orderer"
)

// orderState is the state of an order on an engine.
type orderState int

const (
	orderUnseen orderState = iota
	orderRunning
	orderDone
	orderRefused
)

// weightsID identifies one version of a model or adapter.
type weightsID struct{ name, version string }

// job is an order that an engine has started.
type job struct {
	order orderer.Order
	id    weightsID
	bytes int64
}

// engine is a simulated engine. It never refuses a load for lack of memory.
type engine struct {
	sim         *simulation
	name        string
	incarnation string
	memoryBytes int64
	checksFence bool
	// repeatsOrders makes the engine execute duplicates of an order again.
	repeatsOrders bool
	skew          time.Duration

	fence     uint64
	lastOrder uint64
	sequence  uint64
	states    map[uint64]orderState
	held      map[string]weightsID
	bytes     map[weightsID]int64
	bases     map[string]string
	jobs      []*job
}

func (e *engine) restart(incarnation string) {
	e.incarnation = incarnation
	e.fence, e.lastOrder, e.sequence = 0, 0, 0
	e.states = map[uint64]orderState{}
	e.held = map[string]weightsID{}
	e.bytes = map[weightsID]int64{}
	e.bases = map[string]string{}
	e.jobs = nil
}

// preload places a model in memory without an order.
func (e *engine) preload(name string, bytes int64) {
	id := weightsID{name, "1"}
	e.held[name] = id
	e.bytes[id] = bytes
}

// receive handles an order, which may be late or a duplicate.
func (e *engine) receive(order orderer.Order) {
	if e.states[order.ID] != orderUnseen && !e.repeatsOrders || e.isRunning(order.ID) {
		return
	}
	if order.Incarnation != e.incarnation || e.sim.now.Add(e.skew).After(order.NotAfter) {
		return
	}
	if e.checksFence && order.Fence < e.fence || !e.isFeasible(order.Work) {
		e.settle(order.ID, orderRefused)
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.start(order)
}

func (e *engine) isRunning(id uint64) bool {
	for _, j := range e.jobs {
		if j.order.ID == id {
			return true
		}
	}
	return false
}

func (e *engine) isFeasible(work orderer.Work) bool {
	switch work := work.(type) {
	case orderer.LoadAdapter:
		_, held := e.held[work.Model]
		return held
	case orderer.UnloadModel:
		for adapter, base := range e.bases {
			if _, held := e.held[adapter]; held && base == work.Model {
				return false
			}
		}
	}
	return true
}

func (e *engine) start(order orderer.Order) {
	started := &job{order: order}
	switch work := order.Work.(type) {
	case orderer.LoadModel:
		started.id, started.bytes = weightsID{work.Model, work.Version}, work.MemoryBytes
	case orderer.LoadAdapter:
		started.id, started.bytes = weightsID{work.Adapter, work.Version}, work.MemoryBytes
		e.bases[work.Adapter] = work.Model
	case orderer.UnloadModel:
		started.id.name = work.Model
	case orderer.UnloadAdapter:
		started.id.name = work.Adapter
	}
	if e.isNoop(started) {
		e.settle(order.ID, orderDone)
		return
	}
	if e.states[order.ID] == orderUnseen {
		e.states[order.ID] = orderRunning
	}
	e.jobs = append(e.jobs, started)
	if used := e.used(); used > e.memoryBytes {
		e.sim.failf("engine %s uses %d of %d bytes, order %+v", e.name, used, e.memoryBytes, order)
	}
}

// isNoop reports whether the job loads weights that are held or unloads weights
// that are not.
func (e *engine) isNoop(j *job) bool {
	held, ok := e.held[j.id.name]
	if j.bytes > 0 {
		return held == j.id
	}
	return j.id.name != "" && !ok
}

// used returns the memory of held and loading weights, in bytes.
func (e *engine) used() int64 {
	sizes := map[weightsID]int64{}
	for _, id := range e.held {
		sizes[id] = e.bytes[id]
	}
	for _, j := range e.jobs {
		sizes[j.id] = max(sizes[j.id], j.bytes)
	}
	var total int64
	for _, bytes := range sizes {
		total += bytes
	}
	return total
}

// finishJob completes or fails a random job.
func (e *engine) finishJob() {
	if len(e.jobs) == 0 {
		return
	}
	index := e.sim.rand.IntN(len(e.jobs))
	j := e.jobs[index]
	e.jobs = append(e.jobs[:index:index], e.jobs[index+1:]...)
	if j.bytes > 0 && e.sim.chance(8) {
		e.settle(j.order.ID, orderRefused)
		return
	}
	e.complete(j)
	e.settle(j.order.ID, orderDone)
}

func (e *engine) complete(j *job) {
	switch {
	case j.id.name == "":
	case j.bytes > 0:
		e.held[j.id.name] = j.id
		e.bytes[j.id] = j.bytes
	default:
		_, held := e.held[j.id.name]
		delete(e.held, j.id.name)
		if held {
			e.sim.fleet.unloaded(e, j.id.name)
		}
	}
}

// settle records the outcome of an order. A duplicate does not change it later.
func (e *engine) settle(id uint64, state orderState) {
	if before := e.states[id]; before == orderUnseen || before == orderRunning {
		e.states[id] = state
	}
	e.lastOrder = max(e.lastOrder, id)
}

// report returns the held weights, without those being unloaded.
func (e *engine) report() orderer.Observe {
	e.sequence++
	placement := cataloger.Placement{Upstream: e.name, Incarnation: e.incarnation}
	for name := range e.held {
		if e.unloading(name) {
			continue
		}
		if e.bases[name] != "" {
			placement.Adapters = append(placement.Adapters, name)
			continue
		}
		placement.Models = append(placement.Models, name)
	}
	return orderer.Observe{
		Placement: placement,
		LastOrder: e.lastOrder,
		Sequence:  e.sequence,
		Taken:     e.sim.now.Add(e.skew),
		UsedBytes: e.used(),
	}
}

func (e *engine) unloading(name string) bool {
	for _, j := range e.jobs {
		if j.bytes == 0 && j.id.name == name {
			return true
		}
	}
	return false
}
