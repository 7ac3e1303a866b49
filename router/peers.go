package router

import (
	"sync"
	"time"
)

// peerLoadTTL is how long the load of another entry stays valid. It is sent more often
// than that.
const peerLoadTTL = 2 * time.Second

// peerIndex tracks the upstreams at which each other entry has requests, so that its
// complete load does not touch the remaining upstreams. It is safe for concurrent use.
type peerIndex struct {
	mutex   sync.Mutex
	reports map[string]*peerReport
}

// peerReport is the last load of one other entry.
type peerReport struct {
	busy map[string]bool
	// expiresAt is when the load becomes invalid.
	expiresAt time.Time
}

func newPeerIndex() *peerIndex { return &peerIndex{reports: map[string]*peerReport{}} }

// merge stores the load of an entry. It returns the upstreams at which the entry had
// requests and that a complete load no longer lists.
func (p *peerIndex) merge(now time.Time, entry string, loads []Load, complete bool) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	report := p.refresh(now, entry)
	var idle []string
	if complete {
		idle = report.removeMissing(loads)
		p.evictExpired(now)
	}
	for _, load := range loads {
		if load.Requests > 0 {
			report.busy[load.Upstream] = true
		} else {
			delete(report.busy, load.Upstream)
		}
	}
	return idle
}

func (p *peerIndex) refresh(now time.Time, entry string) *peerReport {
	report := p.reports[entry]
	if report == nil {
		report = &peerReport{busy: map[string]bool{}}
		p.reports[entry] = report
	}
	report.expiresAt = now.Add(peerLoadTTL)
	return report
}

// removeMissing removes the busy upstreams that are not among loads and returns them.
func (r *peerReport) removeMissing(loads []Load) []string {
	listed := make(map[string]bool, len(loads))
	for _, load := range loads {
		listed[load.Upstream] = true
	}
	var idle []string
	for upstream := range r.busy {
		if !listed[upstream] {
			idle = append(idle, upstream)
			delete(r.busy, upstream)
		}
	}
	return idle
}

// evictExpired drops the loads of entries that have gone silent: their requests in
// flight no longer count.
func (p *peerIndex) evictExpired(now time.Time) {
	for entry, report := range p.reports {
		if now.After(report.expiresAt) {
			delete(p.reports, entry)
		}
	}
}
