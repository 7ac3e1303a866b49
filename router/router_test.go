package router

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

var epoch = time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)

// fleetCatalog returns a catalog of engines e0, e1 and so on that all hold model m.
func fleetCatalog(t testing.TB, engines int) *cataloger.Catalog {
	t.Helper()
	next, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: fleetChanges(engines)})
	assert.NilError(t, err)
	return next
}

func fleetChanges(engines int) []cataloger.Change {
	changes := []cataloger.Change{
		cataloger.PutModel{Model: cataloger.Model{Name: "m", Service: "chat"}},
	}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		changes = append(changes, cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: name, Incarnation: "1", Address: "127.0.0.1:1", Service: "chat",
			AvailabilityZone: fmt.Sprintf("z%d", i%3),
			Kind:             cataloger.EngineUpstream, State: cataloger.UpstreamLive, Slots: 16,
		}}, cataloger.PutPlacement{Placement: cataloger.Placement{
			Upstream: name, Incarnation: "1", Models: []string{"m"},
		}})
	}
	return changes
}

func newRequest(seed uint64) *Request {
	return &Request{Service: "chat", Model: "m", PromptTokens: 100, AnswerTokens: 50, Seed: seed}
}

func TestLeavingUpstreamIsNeverChosen(t *testing.T) {
	r := New(Settings{})
	r.Update(fleetCatalog(t, 4))
	r.Observe(estimator.Report{Upstream: "e1", Incarnation: "1", Sequence: 1, Leaving: true, Models: []string{"m"}})
	// A later report without the flag changes nothing.
	r.Observe(estimator.Report{Upstream: "e1", Incarnation: "1", Sequence: 2, Models: []string{"m"}})
	for seed := range uint64(1000) {
		choice, err := r.Choose(epoch, newRequest(seed))
		assert.NilError(t, err)
		assert.Assert(t, choice.Upstream != "e1")
	}
}

func TestSaturatedAndNoUpstream(t *testing.T) {
	r := New(Settings{})
	r.Update(fleetCatalog(t, 1))
	choice, err := r.Choose(epoch, newRequest(1))
	assert.NilError(t, err)
	for range 20 {
		r.Started(choice, newRequest(1), epoch)
	}
	_, err = r.Choose(epoch, newRequest(1))
	var saturated *SaturatedError
	assert.Assert(t, errors.As(err, &saturated), "got %v", err)
	other := newRequest(1)
	other.Model = "n"
	_, err = r.Choose(epoch, other)
	var none *NoUpstreamError
	assert.Assert(t, errors.As(err, &none), "got %v", err)
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 7400} {
		b.Run(fmt.Sprintf("servers-%d", size), func(b *testing.B) {
			r := New(Settings{Entries: 8})
			r.Update(fleetCatalog(b, size))
			request := newRequest(1)
			b.ReportAllocs()
			for b.Loop() {
				request.Seed++
				if _, err := r.Choose(epoch, request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChooseAmongPaused chooses while half of the servers are leaving or paused.
func BenchmarkChooseAmongPaused(b *testing.B) {
	r := New(Settings{Entries: 8})
	r.Update(fleetCatalog(b, 7400))
	for at := range 3700 {
		r.ObserveNotice(epoch, engineChoice(2*at), Notice{Leaving: at%2 == 0, PausedUntil: epoch.Add(time.Hour)})
	}
	request := newRequest(1)
	b.ReportAllocs()
	for b.Loop() {
		request.Seed++
		if _, err := r.Choose(epoch, request); err != nil {
			b.Fatal(err)
		}
	}
}
