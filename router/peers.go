package router

import (
	"sync"
	"time"
)

// peerTime is how long the word of another entry counts: it repeats it more
// often.
const peerTime = 2 * time.Second

// peers notes at which upstreams each other entry has requests, so that its
// full word does not touch the others. It is safe for concurrent use.
type peers struct {
	mutex sync.Mutex
	known map[string]*peerWord
}

// peerWord is what one other entry has told.
type peerWord struct {
	busy map[string]bool
	// until is when the word is too old to count.
	until time.Time
}

func newPeers() *peers { return &peers{known: map[string]*peerWord{}} }

// take notes the word of an entry and returns the upstreams at which it had
// requests and that a full word leaves out.
func (p *peers) take(now time.Time, entry string, loads []Load, whole bool) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	word := p.word(now, entry)
	var idle []string
	if whole {
		idle = word.leftOut(loads)
		p.forget(now)
	}
	for _, load := range loads {
		if load.Requests > 0 {
			word.busy[load.Upstream] = true
		} else {
			delete(word.busy, load.Upstream)
		}
	}
	return idle
}

func (p *peers) word(now time.Time, entry string) *peerWord {
	word := p.known[entry]
	if word == nil {
		word = &peerWord{busy: map[string]bool{}}
		p.known[entry] = word
	}
	word.until = now.Add(peerTime)
	return word
}

// leftOut returns the busy upstreams that are not among loads, and forgets
// them.
func (w *peerWord) leftOut(loads []Load) []string {
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

// forget drops the word of entries that have gone silent: what they had in
// flight no longer counts.
func (p *peers) forget(now time.Time) {
	for entry, word := range p.known {
		if now.After(word.until) {
			delete(p.known, entry)
		}
	}
}
