//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["names"] = playNames }

const (
	// badRequests is how many requests the caller that does not behave sends, and nameBytes
	// how long the name of a model is in each: the whole header has less than the 16,384 bytes
	// of maxHeaderBytes.
	badRequests = 800
	nameBytes   = 14000
)

// playNames has a caller name models that nobody has, in headers of legal size. Later the
// operator changes the routes, and an ordinary caller uses them.
func playNames(s *system, trouble bool) (bool, error) {
	for range 2 {
		if _, err := s.addServer("llm", "m0"); err != nil {
			return false, err
		}
		if _, err := s.addServer("app"); err != nil {
			return false, err
		}
	}
	services := []map[string]any{engineService("llm", model("m0", 72700, 8.6)), plainService("app")}
	chat, status, added := streamingRoute("chat", "/chat/", "llm"), plainRoute("status", "/status/", "idempotent", "app"), plainRoute("added", "/added/", "idempotent", "app")
	if err := s.start(2, configuration(5, []map[string]any{chat, status}, services)); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	for _, n := range s.entries {
		if got := s.send(n, ordinary("/chat/1", "m0")); got.status != http.StatusOK {
			return false, fmt.Errorf("%s serves no stream in calm: %v", n.name, got)
		}
		if got := s.send(n, plain("/status/1")); got.status != http.StatusOK {
			return false, fmt.Errorf("%s serves no request in calm: %v", n.name, got)
		}
	}
	s.sendNames(s.entries[0], trouble)
	time.Sleep(2 * contactTime)
	if err := s.put(configuration(9, []map[string]any{chat, added}, services)); err != nil {
		return false, err
	}
	time.Sleep(2 * configApplyTime)
	broken := s.judgeRoutes()
	s.tellRuns()
	return broken, nil
}

// sendNames sends the requests of the caller that does not behave, each of which it gives up
// after 300 ms; without trouble, the same number with the name of a model that is there.
func (s *system) sendNames(n *node, trouble bool) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	results := map[int]int{}
	work := make(chan int)
	for range 100 {
		group.Add(1)
		go func() {
			defer group.Done()
			for range work {
				q := ordinary("/chat/bad", "m0")
				if trouble {
					q.model = longName()
					q.timeout = 300 * time.Millisecond
				}
				got := s.send(n, q)
				mutex.Lock()
				results[got.status]++
				mutex.Unlock()
			}
		}()
	}
	for at := range badRequests {
		work <- at
	}
	close(work)
	group.Wait()
	s.add("%d requests to %s, names of %v; answers by status (0: none in time): %v", badRequests, n.name, map[bool]string{true: "14,000 bytes that no model has", false: "a model"}[trouble], results)
}

func longName() string {
	var name strings.Builder
	for name.Len() < nameBytes {
		fmt.Fprintf(&name, "%016x", rand.Uint64())
	}
	return name.String()
}

// judgeRoutes reports whether requests that are sent after configApplyMs are handled as only
// the older version allows.
func (s *system) judgeRoutes() bool {
	broken := 0
	for round := range 10 {
		for _, n := range s.entries {
			added, dropped := s.send(n, plain(fmt.Sprintf("/added/%d", round))), s.send(n, plain(fmt.Sprintf("/status/%d", round)))
			s.add("%s: added route: %v; dropped route: %v", n.name, added, dropped)
			if added.status == http.StatusNotFound || dropped.status == http.StatusOK {
				broken++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, n := range s.entries {
		now, peak := n.memory()
		s.add("%s: running %v, memory %d MB, at most %d MB", n.name, n.running(), now>>20, peak>>20)
		ends := n.grep("control stream ended")
		if len(ends) > 0 {
			s.add("%s: %d control streams ended, the last: %s", n.name, len(ends), ends[len(ends)-1])
		}
	}
	return broken > 0
}
