package router

import (
	"sync"
	"time"
)

// peerLoadTTL is how long the word of another entry counts: it repeats it more
// often.
const peerLoadTTL = 2 * time.Second

// peerIndex notes at which upstreams each other entry has requests, so that its
// full word does not touch the others. It is safe for concurrent use.
type peerIndex struct {
	mutex   sync.Mutex
	reports map[string]*peerReport
}

// peerReport is what one other entry has told.
type peerReport struct {
	busy map[string]bool
	// expiresAt is when the word is too old to count.
	expiresAt time.Time
}

func newPeerIndex() *peerIndex { return &peerIndex{reports: map[string]*peerReport{}} }

// merge notes the word of an entry and returns the upstreams at which it had
// requests and that a full word leaves out.
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

// removeMissing returns the busy upstreams that are not among loads, and forgets
// them.
func (w *peerReport) removeMissing(loads []Load) []string {
	listed := make(map[string]bool, len(loads))
	for _, load := range loads {
		listed[load.Upstream] = true
	}
	var idle []string
	for upstream := range w.busy {
		if !listed[upstream] {
			idle = append(idle, upstream)
			delete(w.busy, upstream)
		}
	}
	return idle
}

// evictExpired drops the word of entries that have gone silent: what they had in
// flight no longer counts.
func (p *peerIndex) evictExpired(now time.Time) {
	for entry, report := range p.reports {
		if now.After(report.expiresAt) {
			delete(p.reports, entry)
		}
	}
}
