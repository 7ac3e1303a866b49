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
	s := &harness{t: t, ledger: orderer.New(), catalog: cataloger.New(), now: start}
	s.change(
		cataloger.PutModel{Model: cataloger.Model{Name: "m", Service: "s", MemoryBytes: 10, Version: "1"}},
		cataloger.PutModel{Model: cataloger.Model{Name: "n", Service: "s", MemoryBytes: 10, Version: "1"}},
		cataloger.PutModel{Model: cataloger.Model{Name: "far", Service: "other", MemoryBytes: 10, Version: "1"}},
		cataloger.PutAdapter{Adapter: cataloger.Adapter{Name: "a", Model: "m", MemoryBytes: 2, Version: "1"}},
	)
	for _, name := range []string{"e", "f"} {
		s.change(cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: name, Incarnation: "i", Service: "s", Kind: cataloger.EngineUpstream,
			State: cataloger.UpstreamLive, MemoryBytes: 25, ChecksFence: checksFence,
		}})
	}
	s.apply(orderer.Limit{Limits: orderer.StoreLimits{LoadsPerSecond: 1e6, LoadsAtOnce: 100, AdaptersInTransit: 100}})
	s.observe("e", 0, 1)
	s.observe("f", 0, 1, "m")
	return s
}

func (s *harness) change(changes ...cataloger.Change) {
	next, err := s.catalog.With(cataloger.Delta{From: s.catalog.Revision, To: s.catalog.Revision + 1, Changes: changes})
	assert.NilError(s.t, err)
	s.catalog = next
}

func (s *harness) apply(event orderer.Event) orderer.Result {
	s.index++
	s.now = s.now.Add(time.Millisecond)
	result, changes := s.ledger.Apply(s.index, s.now, s.catalog, event)
	if len(changes) > 0 {
		s.change(changes...)
	}
	return result
}

// observe reports models of 10 bytes.
func (s *harness) observe(upstream string, lastOrder, sequence uint64, models ...string) orderer.Result {
	return s.apply(orderer.Observe{
		Placement: cataloger.Placement{Upstream: upstream, Incarnation: "i", Models: models},
		LastOrder: lastOrder,
		Sequence:  sequence,
		Taken:     s.now,
		UsedBytes: int64(10 * len(models)),
	})
}

func (s *harness) submit(upstream string, work orderer.Work) orderer.Result {
	return s.apply(orderer.Submit{Token: fmt.Sprint(s.index), Order: orderer.Order{
		Upstream: upstream, Incarnation: "i", Work: work, NotAfter: s.now.Add(orderLife),
	}})
}

// order submits an order and returns its ID.
func (s *harness) order(upstream string, work orderer.Work) uint64 {
	s.t.Helper()
	result := s.submit(upstream, work)
	committed, ok := result.(orderer.Committed)
	assert.Assert(s.t, ok, "%T %+v", result, result)
	return committed.Order.ID
}

func (s *harness) settle(id uint64, outcome orderer.Outcome) orderer.Result {
	return s.apply(orderer.Settle{ID: id, Outcome: outcome})
}

func (s *harness) carryOut(upstream string, work orderer.Work) {
	s.t.Helper()
	s.settle(s.order(upstream, work), orderer.OutcomeDone)
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
			prepare:  func(s *harness) { s.carryOut("e", load); s.order("e", orderer.UnloadModel{Model: "m"}) },
			upstream: "f", work: orderer.UnloadModel{Model: "m"}, refusal: orderer.LastCopy{Name: "m"},
		},
		"other copy is leaving": {
			prepare: func(s *harness) {
				s.carryOut("e", load)
				leaving := s.catalog.Upstreams["e"]
				leaving.State = cataloger.UpstreamLeaving
				s.change(cataloger.PutUpstream{Upstream: leaving})
			},
			upstream: "f", work: orderer.UnloadModel{Model: "m"}, refusal: orderer.LastCopy{Name: "m"},
		},
		"adapter of the model is held": {
			prepare: func(s *harness) {
				s.carryOut("e", load)
				s.carryOut("f", orderer.LoadAdapter{Adapter: "a"})
			},
			upstream: "f", work: orderer.UnloadModel{Model: "m"}, refusal: orderer.Unsuitable{Reason: "an adapter of the model is held"},
		},
		"no memory": {
			prepare: func(s *harness) {
				s.carryOut("e", load)
				s.carryOut("e", orderer.LoadModel{Model: "n"})
				s.change(cataloger.PutModel{Model: cataloger.Model{Name: "o", Service: "s", MemoryBytes: 10}})
			},
			upstream: "e", work: orderer.LoadModel{Model: "o"}, refusal: orderer.NoMemory{FreeBytes: 5, NeedBytes: 10},
		},
		"new version beside the old": {
			prepare: func(s *harness) {
				s.carryOut("e", load)
				s.carryOut("e", orderer.LoadModel{Model: "n"})
				s.change(cataloger.PutModel{Model: cataloger.Model{Name: "m", Service: "s", MemoryBytes: 10, Version: "2"}})
			},
			upstream: "e", work: load, refusal: orderer.NoMemory{FreeBytes: 5, NeedBytes: 10},
		},
		"unknown weights take all memory": {
			prepare:  func(s *harness) { s.observe("e", 0, 2, "stranger") },
			upstream: "e", work: load, refusal: orderer.NoMemory{FreeBytes: 0, NeedBytes: 10},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, true)
			if test.prepare != nil {
				test.prepare(s)
			}
			assert.DeepEqual(t, s.submit(test.upstream, test.work), test.refusal)
		})
	}
}

func TestEngineWithoutFenceCheckHasOneUnsettledOrder(t *testing.T) {
	s := newHarness(t, false)
	first := s.order("e", orderer.LoadModel{Model: "m"})
	assert.DeepEqual(t, s.submit("e", orderer.SetRole{Role: cataloger.RoleDecode}), orderer.Busy{Unsettled: first})
	s.settle(first, orderer.OutcomeDone)
	s.order("e", orderer.SetRole{Role: cataloger.RoleDecode})
	checking := newHarness(t, true)
	checking.order("e", orderer.LoadModel{Model: "m"})
	checking.order("e", orderer.SetRole{Role: cataloger.RoleDecode})
}

func TestExpiryWaitsForNotAfterAndMargin(t *testing.T) {
	s := newHarness(t, false)
	id := s.order("e", orderer.LoadModel{Model: "m"})
	s.now = s.now.Add(orderLife)
	assert.DeepEqual(t, s.settle(id, orderer.OutcomeExpired), orderer.Unsuitable{Reason: "order may still begin"})
	assert.Equal(t, s.ledger.CountedBytes("e"), int64(10))
	s.now = s.now.Add(orderer.ClockMargin)
	s.settle(id, orderer.OutcomeExpired)
	assert.Equal(t, s.ledger.CountedBytes("e"), int64(0))
	assert.DeepEqual(t, s.settle(id, orderer.OutcomeExpired), orderer.UnknownOrder{ID: id})
}

// TestReportBeforeSettlementChangesNothing sends a report taken between the
// ends of two orders on the engine: its last order is the later one, and it
// lacks the earlier one.
func TestReportBeforeSettlementChangesNothing(t *testing.T) {
	s := newHarness(t, true)
	early := s.order("e", orderer.LoadModel{Model: "m"})
	late := s.order("e", orderer.LoadModel{Model: "n"})
	s.settle(late, orderer.OutcomeDone)
	between := s.now
	s.settle(early, orderer.OutcomeDone)
	report := orderer.Observe{
		Placement: cataloger.Placement{Upstream: "e", Incarnation: "i", Models: []string{"n"}},
		LastOrder: late,
		Sequence:  2,
		Taken:     between,
		UsedBytes: 20,
	}
	s.apply(report)
	assert.DeepEqual(t, s.catalog.Placements["e"].Models, []string{"m", "n"})
	report.Taken, report.Sequence = s.now.Add(2*orderer.ClockMargin), 3
	s.apply(report)
	assert.DeepEqual(t, s.catalog.Placements["e"].Models, []string{"n"})
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
			s := newHarness(t, test.checksFence)
			s.carryOut("e", orderer.LoadModel{Model: "m"})
			s.carryOut("e", orderer.UnloadModel{Model: "m"})
			if test.after > 0 {
				s.now = s.now.Add(test.after)
				s.apply(orderer.Observe{
					Placement: cataloger.Placement{Upstream: "e", Incarnation: "i"},
					LastOrder: s.index, Sequence: 2, Taken: s.now, UsedBytes: test.used,
				})
			}
			assert.Equal(t, s.ledger.CountedBytes("e"), test.counted)
			assert.Equal(t, s.ledger.Reserved(s.catalog)["e"], test.counted)
		})
	}
}

// TestIncarnationThatIsListedAgainKeepsItsOrders removes an upstream from the
// list for a while.
func TestIncarnationThatIsListedAgainKeepsItsOrders(t *testing.T) {
	s := newHarness(t, true)
	id := s.order("e", orderer.LoadModel{Model: "m"})
	upstream := s.catalog.Upstreams["e"]
	s.change(cataloger.RemoveUpstream{Name: "e"})
	s.ledger.UpstreamsListed(s.catalog)
	s.change(cataloger.PutUpstream{Upstream: upstream})
	s.ledger.UpstreamsListed(s.catalog)
	assert.DeepEqual(t, s.submit("e", orderer.LoadModel{Model: "n"}), orderer.Unsuitable{Reason: "upstream has not been observed"})
	assert.DeepEqual(t, s.apply(orderer.Forget{Upstream: "e", Incarnation: "i"}), orderer.Unsuitable{Reason: "upstream is listed"})
	s.settle(id, orderer.OutcomeDone)
	assert.Equal(t, s.ledger.CountedBytes("e"), int64(10))
}

// TestSilentUpstreamsDoNotBlockTheStore has loads on an upstream that stays
// listed and never answers.
func TestSilentUpstreamsDoNotBlockTheStore(t *testing.T) {
	s := newHarness(t, true)
	s.apply(orderer.Limit{Limits: orderer.StoreLimits{LoadsPerSecond: 1e6, LoadsAtOnce: 1, AdaptersInTransit: 1}})
	s.order("e", orderer.LoadModel{Model: "m"})
	_, full := s.submit("f", orderer.LoadModel{Model: "n"}).(orderer.StoreFull)
	assert.Assert(t, full)
	s.now = s.now.Add(orderLife + orderer.MaxLoadTime + time.Second)
	s.order("f", orderer.LoadModel{Model: "n"})
	assert.Equal(t, s.ledger.CountedBytes("e"), int64(10))
}

func TestLimitsAreChecked(t *testing.T) {
	good := orderer.DefaultLimits()
	slow, none, blocked := good, good, good
	slow.LoadsPerSecond, none.LoadsAtOnce, blocked.AdaptersInTransit = 0, 0, -1
	for name, limits := range map[string]orderer.StoreLimits{"slow": slow, "none": none, "blocked": blocked} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, true)
			_, refused := s.apply(orderer.Limit{Limits: limits}).(orderer.Unsuitable)
			assert.Assert(t, refused)
		})
	}
}

func BenchmarkOrder(b *testing.B) {
	s := newHarness(b, true)
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(time.Second)
		s.carryOut("e", orderer.LoadModel{Model: "m"})
		s.carryOut("e", orderer.UnloadModel{Model: "m"})
	}
}
