package poller

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/estimator"
)

// StatusError says that an upstream gave no report.
type StatusError struct{ Status int }

// Error describes the answer.
func (e *StatusError) Error() string { return "no report, but status " + strconv.Itoa(e.Status) }

// IdentityMismatchError says that another upstream, or another incarnation, answered
// at an address.
type IdentityMismatchError struct{ Upstream, Incarnation string }

// Error describes the answer.
func (e *IdentityMismatchError) Error() string {
	return "report of " + e.Upstream + " incarnation " + e.Incarnation
}

// upstreamState is what a poller remembers of one upstream incarnation. Only one
// task at a time touches it.
type upstreamState struct {
	incarnation string
	// unsupported is true where the upstream gives no reports at all.
	unsupported bool
	// failed asks for a new connection: the old one may be dead.
	failed bool
}

// task is one upstream to ask.
type task struct {
	upstream cataloger.Upstream
	state    *upstreamState
	done     *sync.WaitGroup
}

// selectTasks returns the upstreams whose turn it is: those that did not answer the
// last time, but for one place, and the others in order of their names from
// where the last round ended.
func (p *Poller) selectTasks(catalog *cataloger.Catalog) []task {
	names := slices.Sorted(maps.Keys(catalog.Upstreams))
	p.removeUnlisted(catalog)
	tasks := p.selectFailed(catalog, names)
	for range names {
		if len(tasks) == p.settings.PerRound {
			break
		}
		p.cursor = (p.cursor + 1) % len(names)
		upstream := catalog.Upstreams[names[p.cursor]]
		state := p.stateOf(upstream)
		if state.unsupported || p.rateLimited(upstream) || contains(tasks, upstream.Name) {
			continue
		}
		tasks = append(tasks, task{upstream: upstream, state: state})
	}
	return tasks
}

// selectFailed returns upstreams that did not answer the last time, so that
// one which has gone is known soon.
func (p *Poller) selectFailed(catalog *cataloger.Catalog, names []string) []task {
	var tasks []task
	for _, name := range names {
		if len(tasks) >= p.settings.PerRound-1 {
			break
		}
		state := p.stateOf(catalog.Upstreams[name])
		if state.failed && !state.unsupported && !p.rateLimited(catalog.Upstreams[name]) {
			tasks = append(tasks, task{upstream: catalog.Upstreams[name], state: state})
		}
	}
	return tasks
}

func (p *Poller) rateLimited(upstream cataloger.Upstream) bool {
	return p.settings.RateLimited != nil && p.settings.RateLimited(upstream)
}

// contains is true where an upstream is among the tasks.
func contains(tasks []task, name string) bool {
	return slices.ContainsFunc(tasks, func(t task) bool { return t.upstream.Name == name })
}

// removeUnlisted drops the records of upstreams that are gone.
func (p *Poller) removeUnlisted(catalog *cataloger.Catalog) {
	for name := range p.states {
		if _, listed := catalog.Upstreams[name]; !listed {
			delete(p.states, name)
		}
	}
}

func (p *Poller) stateOf(upstream cataloger.Upstream) *upstreamState {
	state := p.states[upstream.Name]
	if state == nil || state.incarnation != upstream.Incarnation {
		state = &upstreamState{incarnation: upstream.Incarnation}
		p.states[upstream.Name] = state
	}
	return state
}

func (p *Poller) poll(ctx context.Context, t task) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Timeout)
	defer cancel()
	failedBefore := t.state.failed
	report, err := p.fetch(ctx, t)
	t.state.failed = err != nil
	if err != nil {
		p.settings.Log.Debug("no load report",
			zap.String("upstream", t.upstream.Name), zap.Error(err))
		if failedBefore && isNoResponse(err) {
			p.settings.OnUnreachable(t.upstream)
		}
		return
	}
	p.settings.Observe(report)
}

// isNoResponse is true where no answer came at all.
func isNoResponse(err error) bool {
	switch err.(type) {
	case *StatusError, *IdentityMismatchError, *encoder.MalformedError:
		return false
	default:
		return true
	}
}

func (p *Poller) fetch(ctx context.Context, t task) (estimator.Report, error) {
	answer, err := p.settings.Calls.Do(ctx, dispatcher.Call{
		Address:       t.upstream.Address,
		Method:        http.MethodGet,
		Path:          encoder.PathLoad,
		NewConnection: t.state.failed,
	})
	if err != nil {
		return estimator.Report{}, err
	}
	if answer.Status != http.StatusOK {
		// plain services need not report; they are not asked again
		t.state.unsupported = answer.Status == http.StatusNotFound &&
			t.upstream.Kind == cataloger.PlainUpstream
		return estimator.Report{}, &StatusError{Status: answer.Status}
	}
	var wire encoder.LoadReport
	if err := json.Unmarshal(answer.Body, &wire); err != nil {
		return estimator.Report{}, &encoder.MalformedError{Subject: "load report", Cause: err}
	}
	if wire.Upstream != t.upstream.Name || wire.Incarnation != t.upstream.Incarnation {
		return estimator.Report{}, &IdentityMismatchError{Upstream: wire.Upstream, Incarnation: wire.Incarnation}
	}
	return encoder.DecodeReport(wire, time.Now()), nil
}
