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

// StatusError reports an answer with an unexpected status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "unexpected status " + strconv.Itoa(e.Status) }

// IdentityMismatchError reports an answer of another upstream or incarnation than
// the one polled at the address.
type IdentityMismatchError struct{ Upstream, Incarnation string }

// Error implements error.
func (e *IdentityMismatchError) Error() string {
	return "load report is from upstream " + e.Upstream + " incarnation " + e.Incarnation
}

// upstreamState is the polling state of one upstream incarnation. Only one task at a
// time uses it.
type upstreamState struct {
	incarnation string
	// unsupported marks an upstream without load reports.
	unsupported bool
	// failed marks an upstream whose last poll failed. The next one uses a new
	// connection, since the old one may be dead.
	failed bool
}

// task is one upstream to poll.
type task struct {
	upstream cataloger.Upstream
	state    *upstreamState
	done     *sync.WaitGroup
}

// selectTasks returns the tasks of one round: upstreams whose last poll failed, up to
// one less than PerRound, then the others in the order of their names, continuing
// after the last one of the previous round.
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

// selectFailed returns tasks for upstreams whose last poll failed, so that an
// unreachable upstream is detected soon.
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

// contains reports whether there is a task for the upstream.
func contains(tasks []task, name string) bool {
	return slices.ContainsFunc(tasks, func(t task) bool { return t.upstream.Name == name })
}

// removeUnlisted deletes the states of upstreams that are not in the catalog.
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
		p.settings.Log.Debug("polling load report failed",
			zap.String("upstream", t.upstream.Name), zap.Error(err))
		if failedBefore && isUnreachable(err) {
			p.settings.OnUnreachable(t.upstream)
		}
		return
	}
	p.settings.Observe(report)
}

// isUnreachable reports whether the upstream did not respond at all.
func isUnreachable(err error) bool {
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
		// Plain services need not support load reports and are not polled again.
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
