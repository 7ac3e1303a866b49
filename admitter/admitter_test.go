package admitter

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/classifier"
	"burdocklink/router"
)

// waitTimeout bounds waits for a condition.
const waitTimeout = 30 * time.Second

func chatClass() classifier.Class {
	return classifier.Class{Name: "couple", Target: classifier.Target{FirstToken: 2 * time.Second}}
}

// newCatalog returns a catalog with one engine that has the given slots and holds
// model m.
func newCatalog(slots int) *cataloger.Catalog {
	next, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: []cataloger.Change{
		cataloger.PutModel{Model: cataloger.Model{Name: "m", Service: "asszisztens"}},
		cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: "e1", Incarnation: "i1", Address: "127.0.0.1:1", Service: "asszisztens",
			Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, Slots: slots,
		}},
		cataloger.PutPlacement{Placement: cataloger.Placement{
			Upstream: "e1", Incarnation: "i1", Models: []string{"m"},
		}},
	}})
	if err != nil {
		panic(err)
	}
	return next
}

func startAdmitter(t *testing.T, slots int) *Admitter {
	t.Helper()
	r := router.New(router.Settings{})
	r.Update(newCatalog(slots))
	a := New(r, Settings{})
	assert.NilError(t, a.Start(t.Context(), nil))
	t.Cleanup(func() { assert.NilError(t, a.Stop(time.Now().Add(waitTimeout))) })
	return a
}

func chatRequest(subscriber string) Request {
	return Request{
		Subscriber: subscriber,
		Class:      chatClass(),
		Arrived:    time.Now(),
		Route:      router.Request{Service: "asszisztens", Model: "m", PromptTokens: 10},
	}
}

func TestDoneFreesASlotForAcquire(t *testing.T) {
	a := startAdmitter(t, 2)
	first, err := a.Acquire(t.Context(), chatRequest("s"))
	assert.NilError(t, err)
	assert.Equal(t, first.Choice.Upstream, "e1")
	second, err := a.Acquire(t.Context(), chatRequest("s"))
	assert.NilError(t, err)
	first.Done(Result{Ended: time.Now(), Outcome: router.OutcomeFinished, Tokens: 3})
	third, err := a.Acquire(t.Context(), chatRequest("s"))
	assert.NilError(t, err)
	second.Done(Result{Ended: time.Now(), Outcome: router.OutcomeFinished})
	third.Done(Result{Ended: time.Now(), Outcome: router.OutcomeFinished})
	third.Done(Result{Ended: time.Now(), Outcome: router.OutcomeFinished})
}

func TestAcquireFailsOnceTargetIsMissed(t *testing.T) {
	a := startAdmitter(t, 2)
	for range 2 {
		_, err := a.Acquire(t.Context(), chatRequest("s"))
		assert.NilError(t, err)
	}
	late := chatRequest("s")
	late.Class.Target.FirstToken = 20 * time.Millisecond
	_, err := a.Acquire(t.Context(), late)
	var missed *TargetMissedError
	assert.Assert(t, errorAs(err, &missed), "got %v", err)
	assert.Assert(t, missed.RetryAt.After(late.Arrived))
}

func TestAcquireRefusals(t *testing.T) {
	a := startAdmitter(t, 2)
	unheld := chatRequest("s")
	unheld.Route.Model = "other"
	_, err := a.Acquire(t.Context(), unheld)
	var none *router.NoUpstreamError
	assert.Assert(t, errorAs(err, &none), "got %v", err)

	for range 2 {
		_, err := a.Acquire(t.Context(), chatRequest("s"))
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = a.Acquire(ctx, chatRequest("s"))
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, a.Demand().Counts["other"]["couple"].Refused, uint64(1))
}

func TestReacquireAvoidsTheFailedUpstream(t *testing.T) {
	a := startAdmitter(t, 4)
	grant, err := a.Acquire(t.Context(), chatRequest("s"))
	assert.NilError(t, err)
	grant.Done(Result{Ended: time.Now(), Outcome: router.OutcomeUnreachable})
	_, err = a.Reacquire(t.Context(), grant)
	var none *router.NoUpstreamError
	assert.Assert(t, errorAs(err, &none), "got %v", err)
}

func TestStopAnswersWaitingRequests(t *testing.T) {
	r := router.New(router.Settings{})
	r.Update(newCatalog(1))
	a := New(r, Settings{})
	assert.NilError(t, a.Start(t.Context(), nil))
	assert.NilError(t, a.Stop(time.Now().Add(waitTimeout)))
	_, err := a.Acquire(t.Context(), chatRequest("s"))
	var stopped *StoppedError
	assert.Assert(t, errorAs(err, &stopped), "got %v", err)
}
