package orderer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/orderer"
)

var start = time.Date(2030, 1, 2, 12, 0, 0, 0, time.UTC)

const orderLife = 30 * time.Second

// harness has two engines of 25 bytes, models of 10 and an adapter of 2.
type harness struct {
	t       testing.TB
	ledger  *orderer.Ledger
	catalog *cataloger.Catalog
	index   uint64
	now     time.Time
}

func newHarness(t testing.TB, checksFence bool) *harness {
	h := &harness{t: t, ledger: orderer.New(), catalog: cataloger.New(), now: start}
	h.change(
		cataloger.PutModel{Model: cataloger.Model{Name: "m", Service: "s", MemoryBytes: 10, Version: "1"}},
		cataloger.PutModel{Model: cataloger.Model{Name: "n", Service: "s", MemoryBytes: 10, Version: "1"}},
		cataloger.PutModel{Model: cataloger.Model{Name: "far", Service: "other", MemoryBytes: 10, Version: "1"}},
		cataloger.PutAdapter{Adapter: cataloger.Adapter{Name: "a", Model: "m", MemoryBytes: 2, Version: "1"}},
	)
	for _, name := range []string{"e", "f"} {
		h.change(cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: name, Incarnation: "i", Service: "s", Kind: cataloger.EngineUpstream,
			State: cataloger.UpstreamLive, MemoryBytes: 25, ChecksFence: checksFence,
		}})
	}
	h.apply(orderer.Limit{Limits: orderer.StoreLimits{LoadsPerSecond: 1e6, LoadsAtOnce: 100, AdaptersInTransit: 100}})
	h.observe("e", 0, 1)
	h.observe("f", 0, 1, "m")
	return h
}

func (h *harness) change(changes ...cataloger.Change) {
	next, err := h.catalog.With(cataloger.Delta{From: h.catalog.Revision, To: h.catalog.Revision + 1, Changes: changes})
	assert.NilError(h.t, err)
	h.catalog = next
}

func (h *harness) apply(event orderer.Event) orderer.Result {
	h.index++
	h.now = h.now.Add(time.Millisecond)
	result, changes := h.ledger.Apply(h.index, h.now, h.catalog, event)
	if len(changes) > 0 {
		h.change(changes...)
	}
	return result
}

// observe reports models of 10 bytes.
func (h *harness) observe(upstream string, lastOrder, sequence uint64, models ...string) orderer.Result {
	return h.apply(orderer.Observe{
		Placement: cataloger.Placement{Upstream: upstream, Incarnation: "i", Models: models},
		LastOrder: lastOrder,
		Sequence:  sequence,
		Taken:     h.now,
		UsedBytes: int64(10 * len(models)),
	})
}

func (h *harness) submit(upstream string, work orderer.Work) orderer.Result {
	return h.apply(orderer.Submit{Token: fmt.Sprint(h.index), Order: orderer.Order{
		Upstream: upstream, Incarnation: "i", Work: work, NotAfter: h.now.Add(orderLife),
	}})
}

// order submits an order and returns its ID.
func (h *harness) order(upstream string, work orderer.Work) uint64 {
	h.t.Helper()
	result := h.submit(upstream, work)
	committed, ok := result.(orderer.Committed)
	assert.Assert(h.t, ok, "%T %+v", result, result)
	return committed.Order.ID
}

func (h *harness) settle(id uint64, outcome orderer.Outcome) orderer.Result {
	return h.apply(orderer.Settle{ID: id, Outcome: outcome})
}

func (h *harness) carryOut(upstream string, work orderer.Work) {
	h.t.Helper()
	h.settle(h.order(upstream, work), orderer.OutcomeDone)
}

func TestRefusals(t *testing.T) {
	load := orderer.LoadModel{Model: "m"}
	tests := map[string]struct {
		prepare  func(*harness)
		upstream string
		work     orderer.Work
		refusal  orderer.Result
	}{
		"unknown upstream": {upstream: "x", work: load, refusal: orderer.UnknownUpstream{Upstream: "x"}},
		"unknown model":    {upstream: "e", work: orderer.LoadModel{Model: "x"}, refusal: orderer.Unsuitable{Reason: "unknown model"}},
		"other service":    {upstream: "e", work: orderer.LoadModel{Model: "far"}, refusal: orderer.Unsuitable{Reason: "model belongs to another service"}},
		"held already":     {upstream: "f", work: load, refusal: orderer.Unsuitable{Reason: "model is held already"}},
		"not held":         {upstream: "e", work: orderer.UnloadModel{Model: "m"}, refusal: orderer.Unsuitable{Reason: "not held"}},
		"no base":          {upstream: "e", work: orderer.LoadAdapter{Adapter: "a"}, refusal: orderer.Unsuitable{Reason: "base model is not held"}},
		"last copy":        {upstream: "f", work: orderer.UnloadModel{Model: "m"}, refusal: orderer.LastCopy{Name: "m"}},
		"unknown role":     {upstream: "e", work: orderer.SetRole{Role: 9}, refusal: orderer.Unsuitable{Reason: "unknown role"}},
		"no work":          {upstream: "e", refusal: orderer.Unsuitable{Reason: "no work"}},
		"racing unload": {
			prepare:  func(h *harness) { h.carryOut("e", load); h.order("e", orderer.UnloadModel{Model: "m"}) },
			upstream: "f", work: orderer.UnloadModel{Model: "m"}, refusal: orderer.LastCopy{Name: "m"},
		},
		"other copy is leaving": {
			prepare: func(h *harness) {
				h.carryOut("e", load)
				leaving := h.catalog.Upstreams["e"]
				leaving.State = cataloger.UpstreamLeaving
				h.change(cataloger.PutUpstream{Upstream: leaving})
			},
			upstream: "f", work: orderer.UnloadModel{Model: "m"}, refusal: orderer.LastCopy{Name: "m"},
		},
		"adapter of the model is held": {
			prepare: func(h *harness) {
				h.carryOut("e", load)
				h.carryOut("f", orderer.LoadAdapter{Adapter: "a"})
			},
			upstream: "f", work: orderer.UnloadModel{Model: "m"}, refusal: orderer.Unsuitable{Reason: "an adapter of the model is held"},
		},
		"no memory": {
			prepare: func(h *harness) {
				h.carryOut("e", load)
				h.carryOut("e", orderer.LoadModel{Model: "n"})
				h.change(cataloger.PutModel{Model: cataloger.Model{Name: "o", Service: "s", MemoryBytes: 10}})
			},
			upstream: "e", work: orderer.LoadModel{Model: "o"}, refusal: orderer.NoMemory{FreeBytes: 5, NeedBytes: 10},
		},
		"new version beside the old": {
			prepare: func(h *harness) {
				h.carryOut("e", load)
				h.carryOut("e", orderer.LoadModel{Model: "n"})
				h.change(cataloger.PutModel{Model: cataloger.Model{Name: "m", Service: "s", MemoryBytes: 10, Version: "2"}})
			},
			upstream: "e", work: load, refusal: orderer.NoMemory{FreeBytes: 5, NeedBytes: 10},
		},
		"unknown weights take all memory": {
			prepare:  func(h *harness) { h.observe("e", 0, 2, "stranger") },
			upstream: "e", work: load, refusal: orderer.NoMemory{FreeBytes: 0, NeedBytes: 10},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, true)
			if test.prepare != nil {
				test.prepare(h)
			}
			assert.DeepEqual(t, h.submit(test.upstream, test.work), test.refusal)
		})
	}
}

func TestEngineWithoutFenceCheckHasOneUnsettledOrder(t *testing.T) {
	h := newHarness(t, false)
	first := h.order("e", orderer.LoadModel{Model: "m"})
	assert.DeepEqual(t, h.submit("e", orderer.SetRole{Role: cataloger.RoleDecode}), orderer.Busy{Unsettled: first})
	h.settle(first, orderer.OutcomeDone)
	h.order("e", orderer.SetRole{Role: cataloger.RoleDecode})
	checking := newHarness(t, true)
	checking.order("e", orderer.LoadModel{Model: "m"})
	checking.order("e", orderer.SetRole{Role: cataloger.RoleDecode})
}

func TestExpiryWaitsForNotAfterAndMargin(t *testing.T) {
	h := newHarness(t, false)
	id := h.order("e", orderer.LoadModel{Model: "m"})
	h.now = h.now.Add(orderLife)
	assert.DeepEqual(t, h.settle(id, orderer.OutcomeExpired), orderer.Unsuitable{Reason: "order may still begin"})
	assert.Equal(t, h.ledger.CountedBytes("e"), int64(10))
	h.now = h.now.Add(orderer.ClockMargin)
	h.settle(id, orderer.OutcomeExpired)
	assert.Equal(t, h.ledger.CountedBytes("e"), int64(0))
	assert.DeepEqual(t, h.settle(id, orderer.OutcomeExpired), orderer.UnknownOrder{ID: id})
}

// TestReportBeforeSettlementChangesNothing sends a report taken between the
// ends of two orders on the engine: its last order is the later one, and it
// lacks the earlier one.
func TestReportBeforeSettlementChangesNothing(t *testing.T) {
	h := newHarness(t, true)
	early := h.order("e", orderer.LoadModel{Model: "m"})
	late := h.order("e", orderer.LoadModel{Model: "n"})
	h.settle(late, orderer.OutcomeDone)
	between := h.now
	h.settle(early, orderer.OutcomeDone)
	report := orderer.Observe{
		Placement: cataloger.Placement{Upstream: "e", Incarnation: "i", Models: []string{"n"}},
		LastOrder: late,
		Sequence:  2,
		Taken:     between,
		UsedBytes: 20,
	}
	h.apply(report)
	assert.DeepEqual(t, h.catalog.Placements["e"].Models, []string{"m", "n"})
	report.Taken, report.Sequence = h.now.Add(2*orderer.ClockMargin), 3
	h.apply(report)
	assert.DeepEqual(t, h.catalog.Placements["e"].Models, []string{"n"})
}

// TestUnloadedMemoryCountsUntilDuplicatesAreRuledOut unloads a model and checks
// the memory still counted for it.
func TestUnloadedMemoryCountsUntilDuplicatesAreRuledOut(t *testing.T) {
	tests := map[string]struct {
		checksFence bool
		after       time.Duration
		used        int64
		counted     int64
	}{
		"fences checked":          {checksFence: true, counted: 0},
		"fences ignored":          {counted: 10},
		"report before not-after": {after: orderLife - time.Second, counted: 10},
		"report after not-after":  {after: orderLife + time.Second, counted: 0},
		"a load is under way":     {after: orderLife + time.Second, used: 10, counted: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, test.checksFence)
			h.carryOut("e", orderer.LoadModel{Model: "m"})
			h.carryOut("e", orderer.UnloadModel{Model: "m"})
			if test.after > 0 {
				h.now = h.now.Add(test.after)
				h.apply(orderer.Observe{
					Placement: cataloger.Placement{Upstream: "e", Incarnation: "i"},
					LastOrder: h.index, Sequence: 2, Taken: h.now, UsedBytes: test.used,
				})
			}
			assert.Equal(t, h.ledger.CountedBytes("e"), test.counted)
			assert.Equal(t, h.ledger.Reserved(h.catalog)["e"], test.counted)
		})
	}
}

// TestIncarnationThatIsListedAgainKeepsItsOrders removes an upstream from the
// list for a while.
func TestIncarnationThatIsListedAgainKeepsItsOrders(t *testing.T) {
	h := newHarness(t, true)
	id := h.order("e", orderer.LoadModel{Model: "m"})
	upstream := h.catalog.Upstreams["e"]
	h.change(cataloger.RemoveUpstream{Name: "e"})
	h.ledger.UpstreamsListed(h.catalog)
	h.change(cataloger.PutUpstream{Upstream: upstream})
	h.ledger.UpstreamsListed(h.catalog)
	assert.DeepEqual(t, h.submit("e", orderer.LoadModel{Model: "n"}), orderer.Unsuitable{Reason: "upstream has not been observed"})
	assert.DeepEqual(t, h.apply(orderer.Forget{Upstream: "e", Incarnation: "i"}), orderer.Unsuitable{Reason: "upstream is listed"})
	h.settle(id, orderer.OutcomeDone)
	assert.Equal(t, h.ledger.CountedBytes("e"), int64(10))
}

// TestSilentUpstreamsDoNotBlockTheStore has loads on an upstream that stays
// listed and never answers.
func TestSilentUpstreamsDoNotBlockTheStore(t *testing.T) {
	h := newHarness(t, true)
	h.apply(orderer.Limit{Limits: orderer.StoreLimits{LoadsPerSecond: 1e6, LoadsAtOnce: 1, AdaptersInTransit: 1}})
	h.order("e", orderer.LoadModel{Model: "m"})
	_, full := h.submit("f", orderer.LoadModel{Model: "n"}).(orderer.StoreFull)
	assert.Assert(t, full)
	h.now = h.now.Add(orderLife + orderer.MaxLoadTime + time.Second)
	h.order("f", orderer.LoadModel{Model: "n"})
	assert.Equal(t, h.ledger.CountedBytes("e"), int64(10))
}

func TestLimitsAreChecked(t *testing.T) {
	good := orderer.DefaultLimits()
	slow, none, blocked := good, good, good
	slow.LoadsPerSecond, none.LoadsAtOnce, blocked.AdaptersInTransit = 0, 0, -1
	for name, limits := range map[string]orderer.StoreLimits{"slow": slow, "none": none, "blocked": blocked} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, true)
			_, refused := h.apply(orderer.Limit{Limits: limits}).(orderer.Unsuitable)
			assert.Assert(t, refused)
		})
	}
}

func BenchmarkOrder(b *testing.B) {
	h := newHarness(b, true)
	b.ReportAllocs()
	for b.Loop() {
		h.now = h.now.Add(time.Second)
		h.carryOut("e", orderer.LoadModel{Model: "m"})
		h.carryOut("e", orderer.UnloadModel{Model: "m"})
	}
}
