package delegator_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"burdocklink/admitter"
	"burdocklink/chooser"
	"burdocklink/classifier"
	"burdocklink/delegator"
	"burdocklink/linker"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// fakeAdmitter is the admitter of one entry.
type fakeAdmitter struct {
	mutex sync.Mutex
	// err is returned in place of a grant. If block is set, requests wait until their
	// callers leave.
	err      error
	block    bool
	admitted []admitter.Request
	// retries counts the calls of AcquireRetry, and covered those that need no further
	// budget.
	retries, covered int
	// cancelled receives when a waiting request is abandoned.
	cancelled chan error
	// results receives the results of grants.
	results chan admitter.Result
}

func newFakeAdmitter() *fakeAdmitter {
	return &fakeAdmitter{cancelled: make(chan error, 4), results: make(chan admitter.Result, 4)}
}

func (a *fakeAdmitter) Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error) {
	a.mutex.Lock()
	a.admitted = append(a.admitted, request)
	err, block := a.err, a.block
	a.mutex.Unlock()
	if block {
		<-ctx.Done()
		a.cancelled <- ctx.Err()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	choice := router.Choice{
		Upstream: "e1", Incarnation: "i1", Address: "10.1.1.1:80", CachedTokens: 7,
		PredictedFirstToken: time.Now().Add(40 * time.Millisecond), PermitExpiresAt: time.Now().Add(300 * time.Millisecond),
	}
	return admitter.NewGrant("", choice, request, false, func(_ time.Time, result admitter.Result) { a.results <- result }), nil
}

func (a *fakeAdmitter) Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error) {
	request, covered := grant.RetryRequest()
	return a.AcquireRetry(ctx, request, covered)
}

func (a *fakeAdmitter) AcquireRetry(ctx context.Context, request admitter.Request, covered bool) (*admitter.Grant, error) {
	a.mutex.Lock()
	a.retries++
	if covered {
		a.covered++
	}
	a.mutex.Unlock()
	return a.Acquire(ctx, request)
}

func (a *fakeAdmitter) requests() []admitter.Request {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return append([]admitter.Request(nil), a.admitted...)
}

// fakeHolders finds no holder, except for models that can be loaded.
type fakeHolders struct{ holdable string }

func (h fakeHolders) Want(_ context.Context, requirement chooser.Requirement) error {
	model := requirement.Model
	if model == h.holdable {
		return nil
	}
	return &chooser.AbsentError{Model: model, RetryAt: time.Now().Add(3 * time.Second)}
}

// entry is one entry of a fleet.
type entry struct {
	*delegator.Delegator
	address string
	local   *fakeAdmitter
	server  *grpc.Server
}

func newEntry(t *testing.T) *entry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &entry{address: listener.Addr().String(), local: newFakeAdmitter(), server: grpc.NewServer()}
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	e.Delegator = delegator.New(delegator.Settings{
		Listen: e.address, Links: links, Local: e.local, Holders: fakeHolders{holdable: "brought"},
		HeldModels: heldModels, Log: zap.NewNop(),
	})
	e.Register(e.server)
	go func() { _ = e.server.Serve(listener) }()
	t.Cleanup(func() {
		e.server.Stop()
		links.Close()
	})
	return e
}

// capacities returns entries of equal capacity.
func capacities(addresses ...string) map[string]int {
	equal := map[string]int{}
	for _, address := range addresses {
		equal[address] = 0
	}
	return equal
}

// fleet is an entry that receives requests and one that admits them. The other members
// do not exist.
type fleet struct {
	receiving, admitting *entry
	// model is owned by the admitting entry.
	model string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{receiving: newEntry(t), admitting: newEntry(t)}
	members := []string{f.receiving.address, f.admitting.address}
	for number := range 40 {
		members = append(members, fmt.Sprintf("127.0.0.2:%d", 1+number))
	}
	f.receiving.SetPeers(capacities(members...))
	f.admitting.SetPeers(capacities(members...))
	f.model = modelAdmittedBy(f.receiving.Delegator, f.admitting.address)
	return f
}

// modelAdmittedBy returns a model whose requests an entry admits.
func modelAdmittedBy(d *delegator.Delegator, address string) string {
	for number := 0; ; number++ {
		interested := d.InterestedEntries(fmt.Sprint(number))
		if len(interested) == 1 && interested[0] == address {
			return heldModels(fmt.Sprint(number))[0]
		}
	}
}

// heldModels returns the model that an upstream holds.
func heldModels(upstream string) []string {
	if upstream == "plain" {
		return nil
	}
	return []string{"model of " + upstream}
}

func (f *fleet) request() admitter.Request {
	now := time.Now()
	return admitter.Request{
		Subscriber: "s", Rank: 2, Arrived: now.Add(-20 * time.Millisecond), Deadline: now.Add(5 * time.Second),
		UsefulUntil: now.Add(2 * time.Second),
		Class:       classifier.Class{Name: "chat", Target: classifier.Target{FirstToken: 500 * time.Millisecond}},
		Route: router.Request{
			Service: "engines", Model: f.model, BaseModel: f.model, PromptTokens: 100, AnswerTokens: 20,
			Prefixes: []router.Prefix{{Hash: 5, Tokens: 50}, {Hash: 6, Tokens: 100}}, AvailabilityZone: "z", Seed: 9,
		},
	}
}

func TestOwnerAdmitsRequestsForItsModel(t *testing.T) {
	f := newFleet(t)
	sent := f.request()
	before := time.Now()
	grant, err := f.receiving.Acquire(t.Context(), sent)
	assert.NilError(t, err)
	assert.Equal(t, grant.Entry, f.admitting.address)
	assert.Equal(t, grant.Choice.Upstream, "e1")
	assert.Equal(t, grant.Choice.Incarnation, "i1")
	assert.Equal(t, grant.Choice.Address, "10.1.1.1:80")
	assert.Equal(t, grant.Choice.CachedTokens, 7)
	// A permit never lasts longer than at the entry that granted it.
	assert.Assert(t, grant.Choice.PermitExpiresAt.After(before.Add(200*time.Millisecond)))
	assert.Assert(t, grant.Choice.PermitExpiresAt.Before(time.Now().Add(300*time.Millisecond)))
	admitted := f.admitting.local.requests()
	assert.Equal(t, len(admitted), 1)
	assert.Equal(t, len(f.receiving.local.requests()), 0)
	got := admitted[0]
	for name, times := range map[string][2]time.Time{
		"arrived": {got.Arrived, sent.Arrived}, "deadline": {got.Deadline, sent.Deadline}, "useful": {got.UsefulUntil, sent.UsefulUntil},
	} {
		assert.Assert(t, times[0].Sub(times[1]).Abs() < 500*time.Millisecond, name)
	}
	assert.Assert(t, got.Route.Thorough)
	got.Arrived, got.Deadline, got.UsefulUntil, got.Route.Thorough = sent.Arrived, sent.Deadline, sent.UsefulUntil, false
	assert.DeepEqual(t, got, sent)

	grant.FirstToken(time.Now())
	grant.Done(admitter.Result{Ended: time.Now(), Tokens: 12, Outcome: router.OutcomeFinished})
	result := <-f.admitting.local.results
	assert.Equal(t, result.Tokens, 12)
	assert.Equal(t, result.Outcome, router.OutcomeFinished)
}

func TestRefusalsAreReturnedByDelegation(t *testing.T) {
	retry := time.Now().Add(3 * time.Second)
	cases := map[string]struct {
		err  error
		want any
	}{
		"hopeless":     {&admitter.TargetMissedError{RetryAt: retry}, new(*admitter.TargetMissedError)},
		"overload":     {&admitter.OverloadError{RetryAt: retry}, new(*admitter.OverloadError)},
		"paused":       {&router.PausedError{RetryAt: retry}, new(*router.PausedError)},
		"rate limited": {&router.RateLimitedError{RetryAt: retry}, new(*router.RateLimitedError)},
		"no upstream":  {&router.NoUpstreamError{RetryAt: retry}, new(*router.NoUpstreamError)},
		"absent":       {&chooser.AbsentError{RetryAt: retry}, new(*chooser.AbsentError)},
		"budget":       {&admitter.RetryBudgetError{}, new(*admitter.RetryBudgetError)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.admitting.local.err = c.err
			_, err := f.receiving.Acquire(t.Context(), f.request())
			assert.Assert(t, errors.As(err, c.want), "%T %v", err, err)
			assert.Equal(t, len(f.receiving.local.requests()), 0)
		})
	}
}

func TestRequestsFallBackWhenOwnerDoesNotAnswer(t *testing.T) {
	cases := map[string]func(t *testing.T, f *fleet){
		"gone":    func(_ *testing.T, f *fleet) { f.admitting.server.Stop() },
		"stopped": func(_ *testing.T, f *fleet) { f.admitting.local.err = &admitter.StoppedError{} },
	}
	for name, silenceEntry := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			silenceEntry(t, f)
			start := time.Now()
			grant, err := f.receiving.Acquire(t.Context(), f.request())
			assert.NilError(t, err)
			assert.Equal(t, grant.Entry, "")
			// The target is half a second, and a deputy is tried in between.
			assert.Assert(t, time.Since(start) < 500*time.Millisecond, "%s", time.Since(start))
			admitted := f.receiving.local.requests()
			assert.Equal(t, len(admitted), 1)
			start = time.Now()
			_, err = f.receiving.Acquire(t.Context(), f.request())
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < 100*time.Millisecond, "asked the unanswering entry again")
		})
	}
}

// A frozen process accepts connections and never answers.
func TestFrozenEntryDoesNotDelayRequests(t *testing.T) {
	f := newFleet(t)
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = frozen.Close() }()
	// All models but those of the receiving entry belong to entries that never answer.
	members := []string{f.receiving.address}
	for range 40 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = listener.Close() }()
		members = append(members, listener.Addr().String())
	}
	f.receiving.SetPeers(capacities(members...))
	start := time.Now()
	grant, err := f.receiving.Acquire(t.Context(), f.request())
	assert.NilError(t, err)
	assert.Equal(t, grant.Entry, "")
	assert.Assert(t, time.Since(start) < 600*time.Millisecond, "%s", time.Since(start))
}

func TestCallerCancellationReachesOwner(t *testing.T) {
	f := newFleet(t)
	f.admitting.local.block = true
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(300*time.Millisecond, cancel)
	_, err := f.receiving.Acquire(ctx, f.request())
	assert.ErrorIs(t, err, context.Canceled)
	select {
	case err := <-f.admitting.local.cancelled:
		assert.ErrorIs(t, err, context.Canceled)
	case <-time.After(time.Second):
		t.Fatal("request still waits")
	}
	assert.Equal(t, len(f.receiving.local.requests()), 0)
}

// A request that waits longer than the reply time-outs must not be abandoned.
func TestQueuedRequestIsKeptAlive(t *testing.T) {
	f := newFleet(t)
	f.admitting.local.block = true
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	_, err := f.receiving.Acquire(ctx, f.request())
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, len(f.admitting.local.requests()), 1)
	assert.Equal(t, len(f.receiving.local.requests()), 0)
}

func TestRetrySpendsBudgetOfAdmittingEntry(t *testing.T) {
	f := newFleet(t)
	grant, err := f.receiving.Acquire(t.Context(), f.request())
	assert.NilError(t, err)
	grant.Done(admitter.Result{Ended: time.Now(), Outcome: router.OutcomeRefused})
	again, err := f.receiving.Reacquire(t.Context(), grant)
	assert.NilError(t, err)
	assert.Equal(t, again.Entry, f.admitting.address)
	admitted := f.admitting.local.requests()
	assert.Equal(t, len(admitted), 2)
	assert.DeepEqual(t, admitted[1].Route.Avoid, []string{"e1"})
	f.admitting.local.mutex.Lock()
	defer f.admitting.local.mutex.Unlock()
	assert.Equal(t, f.admitting.local.retries, 1)
	assert.Equal(t, f.admitting.local.covered, 0)
}

// A grant to an entry must no longer count once that entry has gone.
func TestGrantIsReleasedWhenReceivingEntryLeaves(t *testing.T) {
	f := newFleet(t)
	receiving := newEntry(t)
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	departing := delegator.New(delegator.Settings{
		Listen: receiving.address, Links: links, Local: receiving.local, Holders: fakeHolders{}, HeldModels: heldModels, Log: zap.NewNop(),
	})
	members := []string{f.admitting.address}
	for number := range 40 {
		members = append(members, fmt.Sprintf("127.0.0.2:%d", 1+number))
	}
	departing.SetPeers(capacities(members...))
	f.model = modelAdmittedBy(departing, f.admitting.address)
	grant, err := departing.Acquire(t.Context(), f.request())
	assert.NilError(t, err)
	assert.Equal(t, grant.Entry, f.admitting.address)
	links.Close()
	select {
	case result := <-f.admitting.local.results:
		assert.Equal(t, result.Outcome, router.OutcomeCancelled)
	case <-time.After(2 * time.Second):
		t.Fatal("grant still counts")
	}
}

func TestSmallFleetDoesNotDelegate(t *testing.T) {
	f := newFleet(t)
	f.receiving.SetPeers(capacities(f.admitting.address))
	_, err := f.receiving.Acquire(t.Context(), f.request())
	assert.NilError(t, err)
	assert.Equal(t, len(f.receiving.local.requests()), 1)
	assert.Assert(t, f.receiving.InterestedEntries("e1") == nil)
}

// A retry that repeatedly looks for a holder must spend only one retry.
func TestRetryWaitingForHolderSpendsBudgetOnce(t *testing.T) {
	f := newFleet(t)
	f.admitting.local.err = &router.NoUpstreamError{}
	grant := admitter.NewGrant(f.admitting.address, router.Choice{Upstream: "e1"}, f.holdableRequest(), false,
		func(time.Time, admitter.Result) {})
	_, err := f.receiving.Reacquire(t.Context(), grant)
	var absent *chooser.AbsentError
	assert.Assert(t, errors.As(err, &absent), "%v", err)
	f.admitting.local.mutex.Lock()
	defer f.admitting.local.mutex.Unlock()
	assert.Assert(t, f.admitting.local.retries > 1, "%d", f.admitting.local.retries)
	assert.Equal(t, f.admitting.local.covered, f.admitting.local.retries-1)
}

// holdableRequest asks for a model that can be loaded, and is useful for a short time
// only.
func (f *fleet) holdableRequest() admitter.Request {
	request := f.request()
	request.UsefulUntil = time.Now().Add(200 * time.Millisecond)
	request.Route.Model = surveyor.HeldName("engines", "brought", "")
	return request
}

func TestInterestedEntries(t *testing.T) {
	f := newFleet(t)
	assert.Assert(t, f.receiving.InterestedEntries("plain") == nil)
	none := f.admitting.InterestedEntries(strings.TrimPrefix(f.model, "model of "))
	assert.Assert(t, none != nil && len(none) == 0, "an entry need not tell itself, nor all others: %v", none)
}
