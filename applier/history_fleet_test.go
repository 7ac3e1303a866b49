package applier_test

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/orderer"
)

// profile defines the size of a fleet.
type profile struct {
	engines, models, adapters int
	// memoryBytes is the memory of each engine; a model needs at least 6.
	memoryBytes int64
	// withoutLosses disables losses of engines, so that the last copy of a model
	// can only be lost by an eviction.
	withoutLosses bool
}

// profiles returns two profiles with memory for two models per engine, with and
// without losses of engines, and one with memory for spare copies.
func profiles() []profile {
	return []profile{
		{engines: 2, models: 4, adapters: 2, memoryBytes: 16},
		{engines: 2, models: 4, adapters: 2, memoryBytes: 16, withoutLosses: true},
		{engines: 3, models: 2, adapters: 1, memoryBytes: 40, withoutLosses: true},
	}
}

// fleet simulates engines and the leaders that give them orders, and checks the
// effects on the engines.
type fleet struct {
	sim *simulation
	profile
	engines []*engine
	// inTransit holds orders sent to engines. An order can be delivered again
	// until it expires.
	inTransit []orderer.Order
	reports   []orderer.Observe
	limits    orderer.StoreLimits
	loads     []time.Time
	tokens    int
	epoch     int
	// committed holds the committed orders by ID, byToken their IDs.
	committed map[uint64]orderer.Order
	byToken   map[string]uint64
	// latestEpoch holds the number of the last listed incarnation by engine, and
	// leaving whether the last state of an incarnation was leaving.
	latestEpoch map[string]int
	leaving     map[string]bool
	// incarnations holds all listed incarnations by engine.
	incarnations map[string][]string
	// sequence counts the readings of the platform's list.
	sequence uint64
}

func newFleet(sim *simulation) *fleet {
	return &fleet{
		sim:          sim,
		profile:      profiles()[sim.rand.IntN(len(profiles()))],
		committed:    map[uint64]orderer.Order{},
		byToken:      map[string]uint64{},
		latestEpoch:  map[string]int{},
		leaving:      map[string]bool{},
		incarnations: map[string][]string{},
		limits:       orderer.StoreLimits{LoadsPerSecond: 1.4, LoadsAtOnce: 2, AdaptersInTransit: 1},
	}
}

// begin fills the catalog with models, adapters and engines.
func (f *fleet) begin() {
	sim := f.sim
	sim.apply(applier.Order{Event: orderer.Limit{Limits: f.limits}})
	var steps []cataloger.Change
	for index := range f.models {
		steps = append(steps, f.model(index, "1"))
	}
	for index := range f.adapters {
		steps = append(steps, cataloger.PutAdapter{Adapter: cataloger.Adapter{
			Name: "a" + strconv.Itoa(index), Model: "m" + strconv.Itoa(index%2), MemoryBytes: 2, Version: "1",
		}})
	}
	for index := range f.profile.engines {
		e := &engine{
			sim:           sim,
			name:          "e" + strconv.Itoa(index),
			memoryBytes:   f.memoryBytes,
			checksFence:   sim.chance(2),
			repeatsOrders: sim.chance(2),
			skew:          time.Duration(sim.rand.IntN(9)-4) * time.Second,
		}
		e.restart("i0")
		e.preload("m0", 6)
		e.preload("m1", 7)
		f.engines = append(f.engines, e)
		steps = append(steps, f.listing(e, cataloger.UpstreamLive))
	}
	sim.apply(applier.Watch{Changes: steps})
	for _, e := range f.engines {
		sim.apply(applier.Order{Event: e.report()})
	}
}

func (f *fleet) model(at int, version string) cataloger.Change {
	return cataloger.PutModel{Model: cataloger.Model{
		Name: "m" + strconv.Itoa(at), Service: "s", MemoryBytes: int64(6 + at), Version: version,
	}}
}

func (f *fleet) listing(e *engine, state cataloger.UpstreamState) cataloger.Change {
	return cataloger.PutUpstream{Upstream: cataloger.Upstream{
		Name: e.name, Incarnation: e.incarnation, Address: "127.0.0.1:1", Service: "s",
		Kind: cataloger.EngineUpstream, State: state, MemoryBytes: e.memoryBytes, ChecksFence: e.checksFence,
	}}
}

func (f *fleet) act() {
	e := f.engines[f.sim.rand.IntN(len(f.engines))]
	switch f.sim.rand.IntN(16) {
	case 0, 1, 2:
		f.proposeOrder(e)
	case 3, 4, 5, 6:
		f.advanceOrder()
	case 7, 8, 9:
		f.deliver()
	case 10, 11, 12:
		e.finishJob()
	case 13, 14:
		f.reports = append(f.reports, e.report())
		f.observe()
	default:
		if !f.withoutLosses || f.sim.chance(4) {
			f.changeListing(e)
		}
	}
}

// proposeOrder proposes a random order, as from an arbitrarily bad planner.
func (f *fleet) proposeOrder(e *engine) {
	model := "m" + strconv.Itoa(f.sim.rand.IntN(f.models))
	adapter := "a" + strconv.Itoa(f.sim.rand.IntN(f.adapters))
	work := []orderer.Work{
		orderer.LoadModel{Model: model},
		orderer.LoadModel{Model: model},
		orderer.LoadAdapter{Adapter: adapter},
		orderer.UnloadModel{Model: model},
		orderer.UnloadAdapter{Adapter: adapter},
		orderer.SetRole{Role: cataloger.RoleDecode},
	}[f.sim.rand.IntN(6)]
	if len(e.held) > 0 && f.sim.chance(3) {
		work = f.unload(e)
	}
	f.tokens++
	f.propose(applier.Order{Event: orderer.Submit{
		Token: strconv.Itoa(f.tokens),
		Order: orderer.Order{
			Upstream:    e.name,
			Incarnation: e.incarnation,
			Work:        work,
			NotAfter:    f.sim.now.Add(time.Duration(5+f.sim.rand.IntN(60)) * time.Second),
		},
	}})
}

// propose commits a command at once or puts it in flight.
func (f *fleet) propose(command applier.Command) {
	if f.sim.chance(2) {
		f.sim.apply(command)
		return
	}
	f.sim.propose(command, nil)
}

// unload returns work that unloads random weights of the engine.
func (f *fleet) unload(e *engine) orderer.Work {
	names := slices.Sorted(maps.Keys(e.held))
	name := names[f.sim.rand.IntN(len(names))]
	if e.bases[name] != "" {
		return orderer.UnloadAdapter{Adapter: name}
	}
	return orderer.UnloadModel{Model: name}
}

// advanceOrder acts as the present or an earlier leader and takes a random order
// one step further. An earlier leader, too, only sends unsettled orders.
func (f *fleet) advanceOrder() {
	unsettled := f.sim.state.Orders().Unsettled()
	if len(unsettled) == 0 {
		return
	}
	order := unsettled[f.sim.rand.IntN(len(unsettled))]
	e := f.engine(order.Upstream)
	if e.incarnation != order.Incarnation {
		return
	}
	expired := f.sim.now.After(order.NotAfter.Add(orderer.ClockMargin))
	switch state := e.states[order.ID]; {
	case state == orderDone:
		f.settle(order, orderer.OutcomeDone)
	case state == orderRefused:
		f.settle(order, orderer.OutcomeRefused)
	case state == orderUnseen && expired:
		f.settle(order, orderer.OutcomeExpired)
	case state == orderUnseen:
		f.inTransit = append(f.inTransit, order)
		if !f.sim.chance(3) {
			e.receive(order)
		}
	}
}

func (f *fleet) settle(order orderer.Order, outcome orderer.Outcome) {
	f.propose(applier.Order{Event: orderer.Settle{ID: order.ID, Outcome: outcome}})
}

func (f *fleet) engine(name string) *engine {
	for _, e := range f.engines {
		if e.name == name {
			return e
		}
	}
	f.sim.failf("no engine %s", name)
	return nil
}

// deliver hands an order to its engine. Until the order expires, it may be
// delivered again.
func (f *fleet) deliver() {
	if len(f.inTransit) == 0 {
		return
	}
	index := f.sim.rand.IntN(len(f.inTransit))
	order := f.inTransit[index]
	if f.sim.now.After(order.NotAfter.Add(orderer.ClockMargin)) {
		f.inTransit = append(f.inTransit[:index:index], f.inTransit[index+1:]...)
	}
	f.engine(order.Upstream).receive(order)
}

// observe proposes the newest report or an older one.
func (f *fleet) observe() {
	report := f.reports[len(f.reports)-1]
	if f.sim.chance(3) {
		report = f.reports[f.sim.rand.IntN(len(f.reports))]
	}
	f.propose(applier.Order{Event: report})
}

// changeListing changes the platform's list or the weight store.
func (f *fleet) changeListing(e *engine) {
	state := cataloger.UpstreamLive
	switch f.sim.rand.IntN(6) {
	case 0:
		f.list(f.model(f.sim.rand.IntN(2), strconv.Itoa(f.sim.rand.IntN(3))))
		return
	case 1:
		if !f.withoutLosses {
			f.epoch++
			e.restart("i" + strconv.Itoa(f.epoch))
			e.preload("m1", 7)
		}
	case 2:
		if !f.withoutLosses {
			f.list(cataloger.RemoveUpstream{Name: e.name})
			return
		}
	case 3:
		if !f.withoutLosses && f.sim.chance(3) {
			state = cataloger.UpstreamLeaving
		}
	case 4:
		f.list(f.staleListing(e))
		return
	}
	f.list(f.listing(e, state))
}

// list proposes a change in the next reading.
func (f *fleet) list(change cataloger.Change) {
	f.sequence++
	f.sim.propose(applier.Watch{Term: 1, Sequence: f.sequence, Changes: []cataloger.Change{change}}, nil)
}

// staleListing returns a listing of an incarnation that was listed before.
func (f *fleet) staleListing(e *engine) cataloger.Change {
	stale := *e
	stale.incarnation = "i" + strconv.Itoa(f.latestEpoch[e.name])
	if f.sim.chance(2) && len(f.incarnations[e.name]) > 0 {
		stale.incarnation = f.incarnations[e.name][f.sim.rand.IntN(len(f.incarnations[e.name]))]
	}
	return f.listing(&stale, cataloger.UpstreamLive)
}

// unloaded is called when an engine has unloaded weights. It fails if they were
// the last copy and the profile has no losses.
func (f *fleet) unloaded(e *engine, name string) {
	if !f.withoutLosses {
		return
	}
	for _, other := range f.engines {
		if _, held := other.held[name]; held && other != e {
			return
		}
	}
	f.sim.failf("last copy of %s was unloaded from %s", name, e.name)
}

// verify checks the limits of the weight store and the IDs of orders.
func (f *fleet) verify(command applier.Command, result applier.Result) {
	of, ok := result.(applier.OrderResult)
	if !ok {
		return
	}
	committed, ok := of.Result.(orderer.Committed)
	if !ok {
		return
	}
	order := committed.Order
	if submit, ok := command.(applier.Order).Event.(orderer.Submit); ok {
		f.verifyToken(submit.Token, order.ID)
	}
	if _, repeated := f.committed[order.ID]; repeated {
		return
	}
	f.committed[order.ID] = order
	if order.ID != f.sim.index || order.Fence != order.ID {
		f.sim.failf("order %d with fence %d committed at %d", order.ID, order.Fence, f.sim.index)
	}
	f.verifyStoreLimits(order)
}

// verifyToken checks that a token always gives the same order.
func (f *fleet) verifyToken(token string, id uint64) {
	if first, repeated := f.byToken[token]; repeated && first != id {
		f.sim.failf("token %s gave order %d, then %d", token, first, id)
	}
	f.byToken[token] = id
}

// verifyListing checks that no incarnation is listed again after a later one,
// and that no leaving incarnation becomes live.
func (f *fleet) verifyListing() {
	for name, upstream := range f.sim.state.Catalog().Upstreams {
		epoch, _ := strconv.Atoi(upstream.Incarnation[1:])
		if epoch < f.latestEpoch[name] {
			f.sim.failf("%s went back to incarnation %d after %d", name, epoch, f.latestEpoch[name])
		}
		if f.latestEpoch[name] = epoch; !slices.Contains(f.incarnations[name], upstream.Incarnation) {
			f.incarnations[name] = append(f.incarnations[name], upstream.Incarnation)
		}
		id := name + upstream.Incarnation
		if f.leaving[id] && upstream.State == cataloger.UpstreamLive {
			f.sim.failf("%s was leaving and is live again", id)
		}
		f.leaving[id] = upstream.State == cataloger.UpstreamLeaving
	}
}

func (f *fleet) verifyStoreLimits(order orderer.Order) {
	if !isLoad(order.Work) {
		return
	}
	f.loads = append(f.loads, f.sim.state.Stamp())
	for first := range f.loads[:len(f.loads)-1] {
		span := f.loads[len(f.loads)-1].Sub(f.loads[first]).Seconds()
		if count := len(f.loads) - first; float64(count) > 1.001+span*f.limits.LoadsPerSecond {
			f.sim.failf("%d loads began in %v seconds", count, span)
		}
	}
	loads, adapters := 0, 0
	for _, unsettled := range f.sim.state.Orders().Unsettled() {
		if f.sim.state.Catalog().Upstreams[unsettled.Upstream].Incarnation != unsettled.Incarnation {
			continue
		}
		if f.sim.state.Stamp().After(unsettled.NotAfter.Add(orderer.MaxLoadTime)) {
			continue
		}
		if isLoad(unsettled.Work) {
			loads++
		}
		if _, adapter := unsettled.Work.(orderer.LoadAdapter); adapter {
			adapters++
		}
	}
	if loads > f.limits.LoadsAtOnce || adapters > f.limits.AdaptersInTransit {
		f.sim.failf("%d loads and %d adapters at once", loads, adapters)
	}
}

func isLoad(work orderer.Work) bool {
	switch work.(type) {
	case orderer.LoadModel, orderer.LoadAdapter:
		return true
	default:
		return false
	}
}
