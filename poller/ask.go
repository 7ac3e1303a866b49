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

// StrangerError says that another upstream, or another incarnation, answered
// at an address.
type StrangerError struct{ Upstream, Incarnation string }

// Error describes the answer.
func (e *StrangerError) Error() string {
	return "report of " + e.Upstream + " incarnation " + e.Incarnation
}

// record is what a poller remembers of one upstream incarnation. Only one
// task at a time touches it.
type record struct {
	incarnation string
	// silent is true where the upstream gives no reports at all.
	silent bool
	// failed asks for a new connection: the old one may be dead.
	failed bool
}

// task is one upstream to ask.
type task struct {
	upstream cataloger.Upstream
	record   *record
	done     *sync.WaitGroup
}

// choose returns the upstreams whose turn it is: those that did not answer the
// last time, but for one place, and the others in order of their names from
// where the last round ended.
func (p *Poller) choose(catalog *cataloger.Catalog) []task {
	names := slices.Sorted(maps.Keys(catalog.Upstreams))
	p.forget(catalog)
	chosen := p.chooseFailed(catalog, names)
	for range names {
		if len(chosen) == p.settings.PerRound {
			break
		}
		p.turn = (p.turn + 1) % len(names)
		upstream := catalog.Upstreams[names[p.turn]]
		kept := p.recordOf(upstream)
		if kept.silent || p.limited(upstream) || holds(chosen, upstream.Name) {
			continue
		}
		chosen = append(chosen, task{upstream: upstream, record: kept})
	}
	return chosen
}

// chooseFailed returns upstreams that did not answer the last time, so that
// one which has gone is known soon.
func (p *Poller) chooseFailed(catalog *cataloger.Catalog, names []string) []task {
	var chosen []task
	for _, name := range names {
		if len(chosen) >= p.settings.PerRound-1 {
			break
		}
		kept := p.recordOf(catalog.Upstreams[name])
		if kept.failed && !kept.silent && !p.limited(catalog.Upstreams[name]) {
			chosen = append(chosen, task{upstream: catalog.Upstreams[name], record: kept})
		}
	}
	return chosen
}

func (p *Poller) limited(upstream cataloger.Upstream) bool {
	return p.settings.Limited != nil && p.settings.Limited(upstream)
}

// holds is true where an upstream is among the tasks.
func holds(tasks []task, name string) bool {
	return slices.ContainsFunc(tasks, func(each task) bool { return each.upstream.Name == name })
}

// forget drops the records of upstreams that are gone.
func (p *Poller) forget(catalog *cataloger.Catalog) {
	for name := range p.known {
		if _, listed := catalog.Upstreams[name]; !listed {
			delete(p.known, name)
		}
	}
}

func (p *Poller) recordOf(upstream cataloger.Upstream) *record {
	kept := p.known[upstream.Name]
	if kept == nil || kept.incarnation != upstream.Incarnation {
		kept = &record{incarnation: upstream.Incarnation}
		p.known[upstream.Name] = kept
	}
	return kept
}

func (p *Poller) ask(ctx context.Context, asked task) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Answer)
	defer cancel()
	before := asked.record.failed
	report, err := p.fetch(ctx, asked)
	asked.record.failed = err != nil
	if err != nil {
		p.settings.Log.Debug("no load report",
			zap.String("upstream", asked.upstream.Name), zap.Error(err))
		if before && isSilence(err) {
			p.settings.Failed(asked.upstream)
		}
		return
	}
	p.settings.Observe(report)
}

// isSilence is true where no answer came at all.
func isSilence(err error) bool {
	switch err.(type) {
	case *StatusError, *StrangerError, *encoder.MalformedError:
		return false
	default:
		return true
	}
}

func (p *Poller) fetch(ctx context.Context, asked task) (estimator.Report, error) {
	answer, err := p.settings.Calls.Do(ctx, dispatcher.Call{
		Address:       asked.upstream.Address,
		Method:        http.MethodGet,
		Path:          encoder.PathLoad,
		NewConnection: asked.record.failed,
	})
	if err != nil {
		return estimator.Report{}, err
	}
	if answer.Status != http.StatusOK {
		// plain services need not report; they are not asked again
		asked.record.silent = answer.Status == http.StatusNotFound &&
			asked.upstream.Kind == cataloger.PlainUpstream
		return estimator.Report{}, &StatusError{Status: answer.Status}
	}
	var wire encoder.LoadReport
	if err := json.Unmarshal(answer.Body, &wire); err != nil {
		return estimator.Report{}, &encoder.MalformedError{Subject: "load report", Cause: err}
	}
	if wire.Upstream != asked.upstream.Name || wire.Incarnation != asked.upstream.Incarnation {
		return estimator.Report{}, &StrangerError{Upstream: wire.Upstream, Incarnation: wire.Incarnation}
	}
	return encoder.DecodeReport(wire, time.Now()), nil
}
