package supervisor_test

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/conductor"
	"burdocklink/encoder"
	"burdocklink/estimator"
	"burdocklink/faker"
	"burdocklink/orderer"
	"burdocklink/placer"
	"burdocklink/sender"
	"burdocklink/supervisor"
)

// testTimeout bounds every wait.
const testTimeout = 30 * time.Second

// group is the state of a control group that never loses a command.
type group struct {
	mu    sync.Mutex
	state *applier.State
	index uint64
}

// member is a member of the group.
type member struct {
	*group
	leading bool
}

func (m *member) Propose(_ context.Context, command applier.Command) (applier.Applied, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leading {
		return applier.Applied{}, &conductor.NotLeaderError{}
	}
	m.index++
	return m.state.Apply(m.index, time.Now(), command), nil
}

func (m *member) Confirm(context.Context) (uint64, error) { return 0, nil }

func (m *member) Follow() (*cataloger.Catalog, <-chan cataloger.Delta, func()) { return nil, nil, nil }

func (m *member) Read(_ context.Context, read func(*applier.State)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	read(m.state)
	return nil
}

func (m *member) Status() conductor.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return conductor.Status{Leading: m.leading}
}

func (m *member) setLeading(leading bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leading = leading
}

// loadPlanner plans loads of the models that no engine holds.
type loadPlanner struct{ models []string }

func (p loadPlanner) Plan(input placer.Input) placer.Output {
	var output placer.Output
	for _, model := range p.models {
		if len(input.Catalog.Holders[model]) == 0 {
			output.Moves = append(output.Moves, placer.Move{
				Upstream: "e", Incarnation: "i", Work: orderer.LoadModel{Model: model},
			})
		}
	}
	return output
}

// harness is a group with one engine.
type harness struct {
	t      *testing.T
	group  *group
	engine *faker.Engine
}

func newHarness(t *testing.T, checksFence bool) *harness {
	t.Helper()
	engine := faker.NewEngine(faker.EngineSettings{
		Name: "e", Incarnation: "i", MemoryBytes: 25, ChecksFence: checksFence, LoadTime: 20 * time.Millisecond,
		Holds: []encoder.Weights{{Name: "m0", Kind: "model", Version: "1", MemoryBytes: 10}},
	})
	assert.NilError(t, engine.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = engine.Stop(time.Now().Add(testTimeout)) })
	h := &harness{t: t, group: &group{state: applier.New()}, engine: engine}
	changes := []cataloger.Change{cataloger.PutUpstream{Upstream: cataloger.Upstream{
		Name: "e", Incarnation: "i", Address: engine.Address(), Service: "s", Kind: cataloger.EngineUpstream,
		State: cataloger.UpstreamLive, MemoryBytes: 25, ChecksFence: checksFence,
	}}}
	for _, name := range []string{"m0", "m1", "m2"} {
		changes = append(changes, cataloger.PutModel{Model: cataloger.Model{
			Name: name, Service: "s", MemoryBytes: 10, Version: "1",
		}})
	}
	h.propose(applier.Watch{Changes: changes})
	return h
}

func (h *harness) propose(command applier.Command) applier.Result {
	applied, err := (&member{group: h.group, leading: true}).Propose(context.Background(), command)
	assert.NilError(h.t, err)
	return applied.Result
}

// index returns the index of the last command.
func (h *harness) index() uint64 {
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	return h.group.index
}

// reports returns the engine's load report.
func (h *harness) reports() map[string]estimator.Report {
	response, err := http.Get("http://" + h.engine.Address() + encoder.PathLoad)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var report encoder.LoadReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return nil
	}
	return map[string]estimator.Report{"e": encoder.DecodeReport(report, time.Now())}
}

// startMember starts a member with its supervisor.
func (h *harness) startMember(planner supervisor.Planner) *member {
	m := &member{group: h.group}
	duties := supervisor.New(supervisor.Config{
		Proposer: m,
		Planner:  planner,
		Demands:  func() map[string]placer.Demand { return nil },
		Reports:  h.reports,
		Limits:   orderer.StoreLimits{LoadsPerSecond: 1000, LoadsAtOnce: 8, AdaptersInTransit: 8},
		Settings: supervisor.Settings{RoundInterval: 2 * time.Millisecond, PlanInterval: 5 * time.Millisecond},
		Sender:   sender.Settings{CallTimeout: 500 * time.Millisecond, MinPollInterval: time.Millisecond, MaxPollInterval: 10 * time.Millisecond},
		Log:      zap.NewNop(),
	})
	assert.NilError(h.t, duties.Start(context.Background(), nil))
	h.t.Cleanup(func() { assert.NilError(h.t, duties.Stop(time.Now().Add(testTimeout))) })
	return m
}

// waitFor waits until the state reaches a goal.
func (h *harness) waitFor(goal string, reached func(*applier.State) bool) {
	h.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		h.group.mu.Lock()
		met := reached(h.group.state)
		h.group.mu.Unlock()
		if met {
			return
		}
		time.Sleep(time.Millisecond)
	}
	h.t.Fatalf("not reached: %s", goal)
}

func isHeld(model string) func(*applier.State) bool {
	return func(state *applier.State) bool { return len(state.Catalog().Holders[model]) == 1 }
}

func TestPlanReachesEngine(t *testing.T) {
	tests := map[string]bool{"engine checks fences": true, "engine ignores fences": false}
	for name, checksFence := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, checksFence)
			h.engine.SetFaults(encoder.EngineFaults{LoseOrders: 1, LoseOrderReplies: 1})
			h.startMember(loadPlanner{models: []string{"m1", "m2"}}).setLeading(true)
			h.waitFor("m0 is observed", isHeld("m0"))
			h.waitFor("m1 is loaded", isHeld("m1"))
			h.waitFor("limits are set", func(state *applier.State) bool {
				return state.Orders().Limits().LoadsAtOnce == 8
			})
			record := h.engine.Record()
			assert.Equal(t, len(record.Violations), 0, "%v", record.Violations)
			assert.DeepEqual(t, record.Models, []string{"m0", "m1"})
		})
	}
}

// TestRefusedMovesAreNotWritten plans a load that never fits.
func TestRefusedMovesAreNotWritten(t *testing.T) {
	h := newHarness(t, true)
	h.propose(applier.Watch{Changes: []cataloger.Change{cataloger.PutModel{Model: cataloger.Model{
		Name: "m3", Service: "s", MemoryBytes: 1000, Version: "1",
	}}}})
	h.startMember(loadPlanner{models: []string{"m3", "m1"}}).setLeading(true)
	h.waitFor("m1 is loaded", isHeld("m1"))
	before := h.propose(applier.Noop{})
	assert.DeepEqual(t, before, applier.Nothing{})
	index := h.index()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, h.index(), index)
}

// TestNewLeaderInheritsOrders has a leader commit an order that does not reach
// the engine before it loses leadership.
func TestNewLeaderInheritsOrders(t *testing.T) {
	h := newHarness(t, false)
	h.engine.SetFaults(encoder.EngineFaults{LoseOrders: 1 << 30})
	first := h.startMember(loadPlanner{models: []string{"m1"}})
	first.setLeading(true)
	unsettled := func(state *applier.State) bool { return len(state.Orders().Unsettled()) == 1 }
	h.waitFor("an order is committed", unsettled)
	first.setLeading(false)
	var id uint64
	h.waitFor("its ID is known", func(state *applier.State) bool {
		id = state.Orders().Unsettled()[0].ID
		return true
	})
	h.engine.SetFaults(encoder.EngineFaults{})
	h.startMember(loadPlanner{}).setLeading(true)
	h.waitFor("m1 is loaded", isHeld("m1"))
	arrivals := h.engine.Record().Orders
	assert.Assert(t, len(arrivals) > 0)
	for _, arrival := range arrivals {
		assert.Equal(t, arrival.ID, id)
	}
}

func TestIdleMemberDoesNothing(t *testing.T) {
	h := newHarness(t, true)
	h.startMember(loadPlanner{models: []string{"m1"}})
	leader := h.startMember(loadPlanner{models: []string{"m1"}})
	leader.setLeading(true)
	h.waitFor("m1 is loaded", isHeld("m1"))
	assert.Equal(t, len(h.engine.Record().Orders), 1)
}

func TestClaimsExpire(t *testing.T) {
	h := newHarness(t, true)
	key := claimer.Key{Subscriber: "carbono", Name: "retire-7"}
	result := h.propose(applier.Claim{Event: claimer.Open{
		Key: key, Attempt: "a", Entry: "e", Deadline: time.Now().Add(20 * time.Millisecond),
	}})
	assert.Assert(t, result.(applier.ClaimResult).Result.(claimer.Granted) != claimer.Granted{})
	h.startMember(loadPlanner{}).setLeading(true)
	h.waitFor("the claim is lost", func(state *applier.State) bool {
		return state.Claims().Records()[0].Phase == claimer.PhaseUnknown
	})
}

// TestUnlistedUpstreamIsForgotten removes an upstream that was observed.
func TestUnlistedUpstreamIsForgotten(t *testing.T) {
	h := newHarness(t, true)
	m := &member{group: h.group}
	duties := supervisor.New(supervisor.Config{
		Proposer: m,
		Planner:  loadPlanner{},
		Demands:  func() map[string]placer.Demand { return nil },
		Reports:  h.reports,
		Settings: supervisor.Settings{RoundInterval: time.Millisecond, PlanInterval: time.Millisecond, ForgetDelay: time.Millisecond},
		Log:      zap.NewNop(),
	})
	assert.NilError(t, duties.Start(context.Background(), nil))
	defer func() { assert.NilError(t, duties.Stop(time.Now().Add(testTimeout))) }()
	m.setLeading(true)
	h.waitFor("m0 is observed", isHeld("m0"))
	h.propose(applier.Watch{Changes: []cataloger.Change{cataloger.RemoveUpstream{Name: "e"}}})
	h.waitFor("the account is forgotten", func(state *applier.State) bool {
		_, known := state.Orders().Account("e")
		return !known
	})
}
