package prover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"burdocklink/encoder"
	"burdocklink/prover"
)

// revisionPollInterval is the time between two samples of the entries' revisions.
const revisionPollInterval = 100 * time.Millisecond

// changeSender sends changes one after another and records which of them the
// entries have in force.
type changeSender struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup

	mu       sync.Mutex
	accepted []encoder.AcceptedPage
}

// startChanges starts a changeSender.
func (f *fleet) startChanges() *changeSender {
	started := &changeSender{fleet: f, stop: make(chan struct{})}
	started.done.Add(2)
	go started.runChanges()
	go started.runRevisions()
	return started
}

func (s *changeSender) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// runChanges sends changes until it is stopped.
func (s *changeSender) runChanges() {
	defer s.done.Done()
	for number := 1; !s.stopped(); number++ {
		request := fmt.Sprintf("set-%d", number)
		page, code := s.sendUntilDecided(change{class: request, request: request, flags: []string{"--whole", "1h"}})
		if code != exitDone {
			continue
		}
		s.mu.Lock()
		s.accepted = append(s.accepted, page)
		s.mu.Unlock()
	}
}

// sendUntilDecided resends a change until it is accepted or conflicts, or the
// sender is stopped. A change that conflicted is not sent again.
func (s *changeSender) sendUntilDecided(wanted change) (encoder.AcceptedPage, int) {
	for {
		page, code := s.fleet.sendChange(wanted)
		if code == exitDone || code == exitConflict || s.stopped() {
			return page, code
		}
		time.Sleep(revisionPollInterval)
	}
}

// count returns the number of accepted changes.
func (s *changeSender) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}

// runRevisions records the entries' revisions until it is stopped.
func (s *changeSender) runRevisions() {
	defer s.done.Done()
	for !s.stopped() {
		for _, each := range s.fleet.entries {
			s.recordRevision(each)
		}
		time.Sleep(revisionPollInterval)
	}
}

// recordRevision records which of the accepted changes an entry has in force.
func (s *changeSender) recordRevision(at *entry) {
	seen := prover.Revision{At: time.Now(), Entry: at.name}
	for _, page := range s.sampleAccepted() {
		known, ready := s.fleet.hasClass(at, page.Request)
		if !ready {
			return
		}
		if !known {
			seen.Lacks = page.Revision
			break
		}
		seen.Revision = page.Revision
	}
	s.fleet.record(seen)
}

// sampleAccepted returns the first accepted change and a logarithmic number of
// later ones, in order and denser towards the latest.
func (s *changeSender) sampleAccepted() []encoder.AcceptedPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pages []encoder.AcceptedPage
	for back := 1; back <= len(s.accepted); back *= 2 {
		pages = append(pages, s.accepted[len(s.accepted)-back])
	}
	if len(s.accepted) > 0 {
		pages = append(pages, s.accepted[0])
	}
	slices.Reverse(pages)
	return pages
}

// end stops sending and waits until all entries have the accepted changes in
// force.
func (s *changeSender) end() {
	s.fleet.t.Helper()
	close(s.stop)
	s.done.Wait()
	for _, each := range s.fleet.entries {
		for _, page := range s.sampleAccepted() {
			eventually(s.fleet.t, page.Request+" is in force at "+each.name, func() bool {
				known, _ := s.fleet.hasClass(each, page.Request)
				return known
			})
		}
	}
}

// hasClass reports whether an entry knows a class, and whether the entry accepts
// requests. It sends a request with a malformed body, so that nothing runs.
func (f *fleet) hasClass(at *entry, class string) (known, ready bool) {
	ctx, cancel := context.WithTimeout(context.Background(), client.Timeout)
	defer cancel()
	request := f.newRequest(ctx, http.MethodPost, at.url(encoder.PathChat), "probe", []byte("{"))
	request.Header.Set(encoder.HeaderClass, class)
	response, err := callerClient.Do(request)
	if err != nil {
		return false, false
	}
	defer func() { _ = response.Body.Close() }()
	var reply encoder.ErrorReply
	if json.NewDecoder(response.Body).Decode(&reply) != nil {
		return false, false
	}
	switch reply.Error.Type {
	case "unknown-class":
		return false, true
	case "malformed-body":
		return true, true
	default:
		return false, false
	}
}
