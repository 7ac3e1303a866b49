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

// profile is what a fleet is made of.
type profile struct {
	engines, models, adapters int
	// memory is that of each engine; a model needs 6 and more.
	memory int64
	// calm histories have no losses of engines, so that each loss of a last
	// copy is an eviction.
	calm bool
}

// profiles are chosen by the seed: two with memory for two models, one of them
// with losses, and one with copies to spare.
func profiles() []profile {
	return []profile{
		{engines: 2, models: 4, adapters: 2, memory: 16},
		{engines: 2, models: 4, adapters: 2, memory: 16, calm: true},
		{engines: 3, models: 2, adapters: 1, memory: 40, calm: true},
	}
}

// fleet simulates engines and the leaders that give them orders, and checks
// what happens to the engines in truth.
type fleet struct {
	w *world
	profile
	engines []*engine
	// mail are orders on their way to engines, for ever.
	mail    []orderer.Order
	reports []orderer.Observe
	limits  orderer.StoreLimits
	loads   []time.Time
	tokens  int
	epoch   int
	// known are the committed orders by ID, byToken their IDs.
	known   map[uint64]orderer.Order
	byToken map[string]uint64
	// listed and left are the latest incarnations and states seen.
	listed map[string]int
	left   map[string]bool
	shown  map[string][]string
	// sequence counts the readings of lists.
	sequence uint64
}

func newFleet(w *world) *fleet {
	return &fleet{
		w:       w,
		profile: profiles()[w.rand.IntN(len(profiles()))],
		known:   map[uint64]orderer.Order{},
		byToken: map[string]uint64{},
		listed:  map[string]int{},
		left:    map[string]bool{},
		shown:   map[string][]string{},
		limits:  orderer.StoreLimits{LoadsPerSecond: 1.4, LoadsAtOnce: 2, AdaptersInTransit: 1},
	}
}

// begin lists the models, the adapters and the engines.
func (f *fleet) begin() {
	w := f.w
	w.apply(applier.Order{Event: orderer.Limit{Limits: f.limits}})
	var steps []cataloger.Change
	for at := range f.models {
		steps = append(steps, f.model(at, "1"))
	}
	for at := range f.adapters {
		steps = append(steps, cataloger.PutAdapter{Adapter: cataloger.Adapter{
			Name: "a" + strconv.Itoa(at), Model: "m" + strconv.Itoa(at%2), MemoryBytes: 2, Version: "1",
		}})
	}
	for at := range f.profile.engines {
		e := &engine{
			w:           w,
			name:        "e" + strconv.Itoa(at),
			memory:      f.memory,
			checksFence: w.chance(2),
			forgets:     w.chance(2),
			skew:        time.Duration(w.rand.IntN(9)-4) * time.Second,
		}
		e.restart("i0")
		e.hold("m0", 6)
		e.hold("m1", 7)
		f.engines = append(f.engines, e)
		steps = append(steps, f.listing(e, cataloger.UpstreamLive))
	}
	w.apply(applier.Watch{Changes: steps})
	for _, e := range f.engines {
		w.apply(applier.Order{Event: e.report()})
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
		Kind: cataloger.EngineUpstream, State: state, MemoryBytes: e.memory, ChecksFence: e.checksFence,
	}}
}

func (f *fleet) act() {
	e := f.engines[f.w.rand.IntN(len(f.engines))]
	switch f.w.rand.IntN(16) {
	case 0, 1, 2:
		f.intend(e)
	case 3, 4, 5, 6:
		f.drive()
	case 7, 8, 9:
		f.deliver()
	case 10, 11, 12:
		e.finish()
	case 13, 14:
		f.reports = append(f.reports, e.report())
		f.observe()
	default:
		if !f.calm || f.w.chance(4) {
			f.disturb(e)
		}
	}
}

// intend proposes an order that any planner, even a bad one, might want.
func (f *fleet) intend(e *engine) {
	model := "m" + strconv.Itoa(f.w.rand.IntN(f.models))
	adapter := "a" + strconv.Itoa(f.w.rand.IntN(f.adapters))
	work := []orderer.Work{
		orderer.LoadModel{Model: model},
		orderer.LoadModel{Model: model},
		orderer.LoadAdapter{Adapter: adapter},
		orderer.UnloadModel{Model: model},
		orderer.UnloadAdapter{Adapter: adapter},
		orderer.SetRole{Role: cataloger.RoleDecode},
	}[f.w.rand.IntN(6)]
	if len(e.held) > 0 && f.w.chance(3) {
		work = f.unload(e)
	}
	f.tokens++
	f.propose(applier.Order{Event: orderer.Submit{
		Token: strconv.Itoa(f.tokens),
		Order: orderer.Order{
			Upstream:    e.name,
			Incarnation: e.incarnation,
			Work:        work,
			NotAfter:    f.w.now.Add(time.Duration(5+f.w.rand.IntN(60)) * time.Second),
		},
	}})
}

// propose commits a command at once, or sends it off.
func (f *fleet) propose(command applier.Command) {
	if f.w.chance(2) {
		f.w.apply(command)
		return
	}
	f.w.propose(command, nil)
}

// unload gives work that takes out something the engine holds.
func (f *fleet) unload(e *engine) orderer.Work {
	names := slices.Sorted(maps.Keys(e.held))
	name := names[f.w.rand.IntN(len(names))]
	if e.bases[name] != "" {
		return orderer.UnloadAdapter{Adapter: name}
	}
	return orderer.UnloadModel{Model: name}
}

// drive is a leader, the present one or an earlier one, taking one unsettled
// order a step further. What an earlier one sends is still an intent.
func (f *fleet) drive() {
	unsettled := f.w.state.Orders().Unsettled()
	if len(unsettled) == 0 {
		return
	}
	order := unsettled[f.w.rand.IntN(len(unsettled))]
	e := f.engine(order.Upstream)
	if e.incarnation != order.Incarnation {
		return
	}
	expired := f.w.now.After(order.NotAfter.Add(orderer.ClockMargin))
	switch state := e.states[order.ID]; {
	case state == orderDone:
		f.settle(order, orderer.OutcomeDone)
	case state == orderRefused:
		f.settle(order, orderer.OutcomeRefused)
	case state == orderUnseen && expired:
		f.settle(order, orderer.OutcomeExpired)
	case state == orderUnseen:
		f.mail = append(f.mail, order)
		if !f.w.chance(3) {
			e.take(order)
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
	f.w.failf("no engine %s", name)
	return nil
}

// deliver brings an order to its engine. Copies may follow at any time.
func (f *fleet) deliver() {
	if len(f.mail) == 0 {
		return
	}
	at := f.w.rand.IntN(len(f.mail))
	order := f.mail[at]
	if f.w.now.After(order.NotAfter.Add(orderer.ClockMargin)) {
		f.mail = append(f.mail[:at:at], f.mail[at+1:]...)
	}
	f.engine(order.Upstream).take(order)
}

// observe proposes a report, the newest one or one that lags.
func (f *fleet) observe() {
	report := f.reports[len(f.reports)-1]
	if f.w.chance(3) {
		report = f.reports[f.w.rand.IntN(len(f.reports))]
	}
	f.propose(applier.Order{Event: report})
}

// disturb changes what the platform and the store list.
func (f *fleet) disturb(e *engine) {
	state := cataloger.UpstreamLive
	switch f.w.rand.IntN(6) {
	case 0:
		f.list(f.model(f.w.rand.IntN(2), strconv.Itoa(f.w.rand.IntN(3))))
		return
	case 1:
		if !f.calm {
			f.epoch++
			e.restart("i" + strconv.Itoa(f.epoch))
			e.hold("m1", 7)
		}
	case 2:
		if !f.calm {
			f.list(cataloger.RemoveUpstream{Name: e.name})
			return
		}
	case 3:
		if !f.calm && f.w.chance(3) {
			state = cataloger.UpstreamLeaving
		}
	case 4:
		f.list(f.stale(e))
		return
	}
	f.list(f.listing(e, state))
}

// list proposes what was read from a list.
func (f *fleet) list(change cataloger.Change) {
	f.sequence++
	f.w.propose(applier.Watch{Term: 1, Sequence: f.sequence, Changes: []cataloger.Change{change}}, nil)
}

// stale is a line of a list that lags behind what was listed before.
func (f *fleet) stale(e *engine) cataloger.Change {
	before := *e
	before.incarnation = "i" + strconv.Itoa(f.listed[e.name])
	if f.w.chance(2) && len(f.shown[e.name]) > 0 {
		before.incarnation = f.shown[e.name][f.w.rand.IntN(len(f.shown[e.name]))]
	}
	return f.listing(&before, cataloger.UpstreamLive)
}

// unloaded is told when an engine has dropped a copy.
func (f *fleet) unloaded(e *engine, name string) {
	if !f.calm {
		return
	}
	for _, other := range f.engines {
		if _, held := other.held[name]; held && other != e {
			return
		}
	}
	f.w.failf("last copy of %s was unloaded from %s", name, e.name)
}

// watch checks the store's limits and the identity of orders.
func (f *fleet) watch(command applier.Command, result applier.Result) {
	of, ok := result.(applier.OrderResult)
	if !ok {
		return
	}
	committed, ok := of.Result.(orderer.Committed)
	if !ok {
		return
	}
	order := committed.Order
	if intend, ok := command.(applier.Order).Event.(orderer.Submit); ok {
		f.checkToken(intend.Token, order.ID)
	}
	if _, repeated := f.known[order.ID]; repeated {
		return
	}
	f.known[order.ID] = order
	if order.ID != f.w.index || order.Fence != order.ID {
		f.w.failf("order %d with fence %d committed at %d", order.ID, order.Fence, f.w.index)
	}
	f.checkStore(order)
}

// checkToken makes sure that a token stands for one order only.
func (f *fleet) checkToken(token string, id uint64) {
	if first, repeated := f.byToken[token]; repeated && first != id {
		f.w.failf("token %s gave order %d, then %d", token, first, id)
	}
	f.byToken[token] = id
}

// watchListing makes sure that no incarnation comes back after a later one,
// and none that was leaving is live again.
func (f *fleet) watchListing() {
	for name, upstream := range f.w.state.Catalog().Upstreams {
		epoch, _ := strconv.Atoi(upstream.Incarnation[1:])
		if epoch < f.listed[name] {
			f.w.failf("%s went back to incarnation %d after %d", name, epoch, f.listed[name])
		}
		if f.listed[name] = epoch; !slices.Contains(f.shown[name], upstream.Incarnation) {
			f.shown[name] = append(f.shown[name], upstream.Incarnation)
		}
		id := name + upstream.Incarnation
		if f.left[id] && upstream.State == cataloger.UpstreamLive {
			f.w.failf("%s was leaving and is live again", id)
		}
		f.left[id] = upstream.State == cataloger.UpstreamLeaving
	}
}

func (f *fleet) checkStore(order orderer.Order) {
	if !isLoad(order.Work) {
		return
	}
	f.loads = append(f.loads, f.w.state.Stamp())
	for first := range f.loads[:len(f.loads)-1] {
		span := f.loads[len(f.loads)-1].Sub(f.loads[first]).Seconds()
		if count := len(f.loads) - first; float64(count) > 1.001+span*f.limits.LoadsPerSecond {
			f.w.failf("%d loads began in %v seconds", count, span)
		}
	}
	loads, adapters := 0, 0
	for _, unsettled := range f.w.state.Orders().Unsettled() {
		if f.w.state.Catalog().Upstreams[unsettled.Upstream].Incarnation != unsettled.Incarnation {
			continue
		}
		if f.w.state.Stamp().After(unsettled.NotAfter.Add(orderer.MaxLoadTime)) {
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
		f.w.failf("%d loads and %d adapters at once", loads, adapters)
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
